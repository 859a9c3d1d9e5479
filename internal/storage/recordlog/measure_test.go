package recordlog_test

import (
	"bytes"
	"fmt"
	"os"
	"runtime"
	"saffronquay/internal/storage/recordlog"
	"saffronquay/internal/storage/recordlog/form"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

// skipUnlessMeasuring skips a long test that only measures, unless SAFFRONQUAY_MEASURE is set.
func skipUnlessMeasuring(t *testing.T) {
	t.Helper()
	if os.Getenv("SAFFRONQUAY_MEASURE") == "" {
		t.Skip("SAFFRONQUAY_MEASURE is not set")
	}
}

func openOn(t *testing.T, dir string, opt recordlog.Options) *recordlog.Store {
	t.Helper()
	var d [2]recordlog.Dir
	for i, name := range []string{"/a", "/b"} {
		var err error
		if d[i], err = recordlog.CreateDir(dir + name); err != nil {
			t.Fatal(err)
		}
	}
	start := time.Now()
	opt.ID, opt.Now, opt.MaxRetention = 1, func() int64 { return time.Since(start).Microseconds() }, 1<<40
	s, err := recordlog.Open(d, opt, false)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func value(t *testing.T, o *form.Once) []byte {
	t.Helper()
	b, err := proto.Marshal(o)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Measures recovery after one day at the highest rate recorded at the site cordoba: 2 million
// parts, each of a separate at-most-once query, which is the worst case, with two records (intent
// and end) for each.
func TestMeasureRecovery(t *testing.T) {
	skipUnlessMeasuring(t)
	dir := t.TempDir()
	s := openOn(t, dir, recordlog.Options{MaxQueuedBytes: 64 << 20})
	intent := value(t, &form.Once{Intent: &form.Intent{Label: "filing-1234567", Deadline: 1 << 50, Print: 7, Parts: []*form.Part{{Shard: 1, From: 10, To: 20, Server: "ledger-3"}}}})
	end := value(t, &form.Once{End: &form.End{Print: 7, Status: 200, Type: "application/json; charset=UTF-8", Body: bytes.Repeat([]byte("x"), 200)}})
	began := time.Now()
	for i := range 2_000_000 {
		for _, v := range [][]byte{intent, end} {
			r := recordlog.Record{Kind: recordlog.AtMostOnce, Key: fmt.Sprintf("kestudio-lagos\x00filings\x00%08x-43dd-bc93-6894a57f9324", i), Value: v, ExpiresAt: 1 << 60}
			for s.Append(r, nil) != nil {
				runtime.Gosched()
			}
		}
	}
	s.Close()
	size, _ := s.Size()
	t.Logf("4,000,000 records written in %s, %d MB a copy", time.Since(began).Round(time.Millisecond), size>>20)
	for _, cores := range []int{1, 1, runtime.NumCPU()} {
		before := heap()
		runtime.GOMAXPROCS(cores)
		began = time.Now()
		s = openOn(t, dir, recordlog.Options{})
		took := time.Since(began)
		_, keys := s.Size()
		t.Logf("opened on %d cores in %s: %d keys, %d MB of heap", cores, took.Round(time.Millisecond), keys, (heap()-before)>>20)
		s.Close()
	}
}

// Measures appends per second and their latency by the number of concurrent callers, with and
// without group commit, and during cleaning.
func TestMeasureAppends(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, c := range []struct {
		what    string
		batch   int
		callers int
		clean   time.Duration
	}{{"one caller", 512, 1, 0}, {"group commit", 512, 64, 0}, {"no group commit", 1, 64, 0}, {"group commit, cleaning", 512, 64, 10 * time.Millisecond}} {
		s := openOn(t, t.TempDir(), recordlog.Options{MaxBatch: c.batch, SegmentSize: 1 << 20, CleanInterval: c.clean})
		var mu sync.Mutex
		var all []time.Duration
		var wg sync.WaitGroup
		end := time.Now().Add(3 * time.Second)
		for n := range c.callers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				var own []time.Duration
				for i := 0; time.Now().Before(end); i++ {
					at := time.Now()
					if err := put(s, fmt.Sprintf("k-%d-%d", n, i%100), string(make([]byte, 200)), 0); err != nil {
						t.Error(err)
						return
					}
					own = append(own, time.Since(at))
				}
				mu.Lock()
				all = append(all, own...)
				mu.Unlock()
			}()
		}
		wg.Wait()
		slices.Sort(all)
		t.Logf("%s, %d callers: %d appends a second, p50 %s, p99 %s, %d syncs, %d segments cleaned", c.what, c.callers, len(all)/3, all[len(all)/2],
			all[len(all)*99/100], s.Metrics().Syncs.Load(), s.Metrics().Cleaned.Load())
		s.Close()
	}
}
