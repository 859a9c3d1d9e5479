// Command storebench compares two embedded stores from the Go module registry with the
// requirements of the durable store: the latency of an acknowledged append, memory, and the
// effects of single flipped bits. It is a separate module, so that the gatherer does not depend
// on these stores. It is run manually; docs/STORE.md has the results.
package main

import (
	"encoding/binary"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"go.etcd.io/bbolt"
)

// db is the common interface of the stores.
type db interface {
	put(k, v []byte) error // durable once it returns
	get(k []byte) ([]byte, error)
	close() error
}

type boltStore struct{ d *bbolt.DB }

var bucket = []byte("b")

func openBolt(dir string) (db, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	d, err := bbolt.Open(filepath.Join(dir, "db"), 0o600, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, err
	}
	d.MaxBatchDelay = 100 * time.Microsecond // the default delays a single append by 10 ms
	err = d.Update(func(tx *bbolt.Tx) error { _, err := tx.CreateBucketIfNotExists(bucket); return err })
	return boltStore{d}, err
}

func (b boltStore) put(k, v []byte) error {
	return b.d.Batch(func(tx *bbolt.Tx) error { return tx.Bucket(bucket).Put(k, v) })
}

func (b boltStore) get(k []byte) (v []byte, err error) {
	err = b.d.View(func(tx *bbolt.Tx) error { v = slices.Clone(tx.Bucket(bucket).Get(k)); return nil })
	return v, err
}

func (b boltStore) close() error { return b.d.Close() }

type pebbleStore struct{ d *pebble.DB }

type discardLogger struct{}

func (discardLogger) Infof(string, ...any)      {}
func (discardLogger) Errorf(string, ...any)     {}
func (discardLogger) Fatalf(f string, a ...any) { panic(fmt.Sprintf(f, a...)) }

func openPebble(dir string) (db, error) {
	d, err := pebble.Open(dir, &pebble.Options{Logger: discardLogger{}, MemTableSize: 4 << 20, Cache: pebble.NewCache(8 << 20)})
	if err != nil {
		return nil, err
	}
	return pebbleStore{d}, nil
}

func (p pebbleStore) put(k, v []byte) error { return p.d.Set(k, v, pebble.Sync) }

func (p pebbleStore) get(k []byte) ([]byte, error) {
	v, c, err := p.d.Get(k)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	return slices.Clone(v), nil
}

func (p pebbleStore) close() error { return p.d.Close() }

func key(i int) []byte {
	return binary.BigEndian.AppendUint64([]byte("filing"), uint64(i)*0x9e3779b97f4a7c15)
}

func value(i int) []byte {
	b := make([]byte, 200)
	for j := range b {
		b[j] = byte(i * (j + 1))
	}
	return b
}

var stores = map[string]func(string) (db, error){"bbolt": openBolt, "pebble": openPebble}

func main() {
	if len(os.Args) == 3 { // check in a separate process: a damaged store may end it
		os.Exit(int(checkStore(stores[os.Args[1]], os.Args[2])))
	}
	for name, open := range stores {
		if err := compare(name, open); err != nil {
			fmt.Fprintln(os.Stderr, name, err)
		}
	}
}

func compare(name string, open func(string) (db, error)) error {
	dir, err := os.MkdirTemp("", "storebench")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	for _, callers := range []int{1, 64} {
		d, err := open(filepath.Join(dir, fmt.Sprint("rate", callers)))
		if err != nil {
			return err
		}
		all := load(d, callers, 3*time.Second)
		slices.Sort(all)
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		fmt.Printf("%s: %d callers: %d appends a second, p50 %s, p99 %s, %d MB of heap\n", name, callers, len(all)/3, all[len(all)/2], all[len(all)*99/100], m.HeapAlloc>>20)
		if err := d.close(); err != nil {
			return err
		}
	}
	return flipBits(name, open, dir)
}

func load(d db, callers int, length time.Duration) (all []time.Duration) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(length)
	for n := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var own []time.Duration
			for i := 0; time.Now().Before(end); i++ {
				at := time.Now()
				if d.put(key(n*100+i%100), value(i)) != nil {
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
	return all
}

// flipBits flips single bits in a closed store and counts the outcomes.
func flipBits(name string, open func(string) (db, error), dir string) error {
	const attempts = 400
	master := filepath.Join(dir, "master")
	d, err := open(master)
	if err != nil {
		return err
	}
	for i := range records {
		if err := d.put(key(i), value(i)); err != nil {
			return err
		}
	}
	if err := d.close(); err != nil {
		return err
	}
	var files []string
	filepath.WalkDir(master, func(path string, e fs.DirEntry, err error) error {
		if err == nil && e.Type().IsRegular() {
			files = append(files, path)
		}
		return err
	})
	rng := rand.New(rand.NewPCG(1, 1))
	outcomes := map[outcome]int{}
	for range attempts {
		copied := filepath.Join(dir, "copy")
		os.RemoveAll(copied)
		if err := os.CopyFS(copied, os.DirFS(master)); err != nil {
			return err
		}
		path := files[rng.IntN(len(files))]
		rel, err := filepath.Rel(master, path)
		if err != nil {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil || len(text) == 0 {
			continue
		}
		text[rng.IntN(len(text))] ^= 1 << rng.IntN(8)
		if err := os.WriteFile(filepath.Join(copied, rel), text, 0o600); err != nil {
			return err
		}
		cmd := exec.Command(os.Args[0], name, copied)
		cmd.Run() // the exit code is evaluated
		outcomes[outcome(cmd.ProcessState.ExitCode())]++
	}
	fmt.Printf("%s: %d flips over %d files: %d ended the process, %d could not be opened, %d lost acknowledged records, %d gave wrong ones\n",
		name, attempts, len(files), outcomes[crashed], outcomes[openFailed], outcomes[lost], outcomes[wrong])
	return nil
}

// outcome is the result of checking a damaged store, as the exit code of the process.
type outcome int

const (
	good       outcome = 0
	crashed    outcome = 2 // exit code of the Go runtime after a panic
	openFailed outcome = 3
	lost       outcome = 4
	wrong      outcome = 5
)

const records = 400

func checkStore(open func(string) (db, error), dir string) outcome {
	d, err := open(dir)
	if err != nil {
		return openFailed
	}
	for i := range records {
		v, err := d.get(key(i))
		switch {
		case err != nil || v == nil:
			return lost
		case !slices.Equal(v, value(i)):
			return wrong
		}
	}
	return good
}
