package weights

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/testing/fakeworker"
	"testing"

	"github.com/matryer/is"
)

// startRepeatingWorker starts a worker that sends each answer a second time, where the next answer on the connection
// is due. It answers the first order with 202 and later ones with 409, and returns its address.
func startRepeatingWorker(t *testing.T) string {
	t.Helper()
	orders := make(chan int, 1)
	orders <- http.StatusAccepted
	answer := func(r *http.Request) string {
		if r.URL.Path == "/api/order" {
			status := <-orders
			orders <- http.StatusConflict
			return fmt.Sprintf("HTTP/1.1 %d Order\r\nContent-Length: 0\r\n\r\n", status)
		}
		const report = `{"models":[{"name":"m","version":3}],"utilization":false}`
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
	}
	return fakeworker.Start(t, func(conn *net.TCPConn) {
		reader := bufio.NewReader(conn)
		late := ""
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			text := answer(r)
			io.WriteString(conn, late+text)
			late = text
		}
	})
}

// Guards against a second, late answer to an earlier call that is taken for the answer to an order: a report's 200
// would say that the worker already has the version.
func TestWorkerClient_SecondAnswerBeforeOrder(t *testing.T) {
	is := is.New(t)
	client := newWorkerClient()
	instance := &rpc.Instance{Id: "w", Address: startRepeatingWorker(t)}
	order := Order{Instance: instance, Model: "m", Version: 4}
	for _, want := range []int{http.StatusAccepted, http.StatusConflict, http.StatusConflict} {
		report, err := client.report(instance, "m")
		is.NoErr(err)
		is.Equal(report.version, uint64(3))
		status, err := client.order(order, "node", 7)
		is.NoErr(err)
		is.Equal(status, want)
	}
}
