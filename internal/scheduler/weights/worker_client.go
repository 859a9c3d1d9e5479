package weights

import (
	"encoding/json"
	"fmt"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/transport"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxIdleConnection is how long an idle connection to a worker is kept for the next query: new
	// versions arrive within seconds. It is shorter than the workers' idle timeout.
	maxIdleConnection = 9 * time.Second
	orderTimeout      = 800 * time.Millisecond
	reportTimeout     = 500 * time.Millisecond
)

// expectInstance is the header with the ID of the worker that a request is for. A different worker
// at the address rejects the request.
const expectInstance = "Expect-Instance"

// workerClient sends orders and queries to workers, without retries.
//
// Workers do not echo an id in these answers, and may send a second answer late, where the next one on the
// connection is due. Each order therefore has a connection of its own. Queries share connections: a second
// answer to an earlier query is only an older report.
type workerClient struct {
	orders, queries *fasthttp.Client
}

func newWorkerClient() *workerClient {
	return &workerClient{orders: newHTTPClient(), queries: newHTTPClient()}
}

func newHTTPClient() *fasthttp.Client {
	return &fasthttp.Client{
		Dial: transport.Dial, MaxIdemponentCallAttempts: 1, MaxIdleConnDuration: maxIdleConnection, NoDefaultUserAgentHeader: true,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// orderBody is the body of an order.
type orderBody struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Version   uint64 `json:"version"`
	Mode      Mode   `json:"mode"`
	Holder    string `json:"holder"`
	Epoch     uint64 `json:"fence"`
}

// loadVersion is the operation of an order to load weights.
const loadVersion = "version"

// order sends an order and returns the status of the answer. After an error the worker may
// nevertheless have received the order.
func (c *workerClient) order(order Order, holder string, epoch uint64) (status int, err error) {
	body, err := json.Marshal(orderBody{
		Operation: loadVersion, Model: order.Model, Version: order.Version, Mode: order.Mode, Holder: holder, Epoch: epoch,
	})
	if err != nil {
		return 0, err
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + order.Instance.Address + "/api/order")
	request.Header.SetContentType("application/json")
	request.Header.Set(expectInstance, order.Instance.Id)
	request.SetBody(body)
	request.SetConnectionClose() // the client then keeps no connection of an order
	if err := c.orders.DoTimeout(request, response, orderTimeout); err != nil {
		return 0, err
	}
	return response.StatusCode(), nil
}

// workerReport is a worker's answer to a query.
type workerReport struct {
	version uint64 // of the queried model; 0: none
	busy    bool   // field utilization of the report
}

// report queries a worker for its version of a model.
func (c *workerClient) report(instance *rpc.Instance, model string) (workerReport, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + instance.Address + "/api/report")
	request.Header.Set(expectInstance, instance.Id)
	if err := c.queries.DoTimeout(request, response, reportTimeout); err != nil {
		return workerReport{}, err
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return workerReport{}, fmt.Errorf("weights: query the worker's report: got status %d, want 200", response.StatusCode())
	}
	var body struct {
		Models []struct {
			Name    string `json:"name"`
			Version uint64 `json:"version"`
		} `json:"models"`
		Busy bool `json:"utilization"`
	}
	if err := json.Unmarshal(response.Body(), &body); err != nil {
		return workerReport{}, err
	}
	report := workerReport{busy: body.Busy}
	for _, m := range body.Models {
		if m.Name == model {
			report.version = m.Version
		}
	}
	return report, nil
}
