// Command weigh holds two embedded stores of the registry against what the durable store has to do, in a module of its own, so that
// the gatherer does not depend on them: the time of an acknowledged append, memory, and what single flipped bytes cost. It is run by
// hand; docs/STORE.md has what it said.
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

// db is what both come down to.
type db interface {
	put(k, v []byte) error // durable once it returns
	get(k []byte) ([]byte, error)
	close() error
}

type bolt struct{ d *bbolt.DB }

var bucket = []byte("b")

func openBolt(dir string) (db, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	d, err := bbolt.Open(filepath.Join(dir, "db"), 0o600, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, err
	}
	d.MaxBatchDelay = 100 * time.Microsecond // by default a lone append waits for 10 ms
	err = d.Update(func(tx *bbolt.Tx) error { _, err := tx.CreateBucketIfNotExists(bucket); return err })
	return bolt{d}, err
}

func (b bolt) put(k, v []byte) error {
	return b.d.Batch(func(tx *bbolt.Tx) error { return tx.Bucket(bucket).Put(k, v) })
}

func (b bolt) get(k []byte) (v []byte, err error) {
	err = b.d.View(func(tx *bbolt.Tx) error { v = slices.Clone(tx.Bucket(bucket).Get(k)); return nil })
	return v, err
}

func (b bolt) close() error { return b.d.Close() }

type peb struct{ d *pebble.DB }

type quiet struct{}

func (quiet) Infof(string, ...any)      {}
func (quiet) Errorf(string, ...any)     {}
func (quiet) Fatalf(f string, a ...any) { panic(fmt.Sprintf(f, a...)) }

func openPebble(dir string) (db, error) {
	d, err := pebble.Open(dir, &pebble.Options{Logger: quiet{}, MemTableSize: 4 << 20, Cache: pebble.NewCache(8 << 20)})
	if err != nil {
		return nil, err
	}
	return peb{d}, nil
}

func (p peb) put(k, v []byte) error { return p.d.Set(k, v, pebble.Sync) }

func (p peb) get(k []byte) ([]byte, error) {
	v, c, err := p.d.Get(k)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	return slices.Clone(v), nil
}

func (p peb) close() error { return p.d.Close() }

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
	if len(os.Args) == 3 { // a look in a process of its own: what is damaged may end it
		os.Exit(int(look(stores[os.Args[1]], os.Args[2])))
	}
	for name, open := range stores {
		if err := weigh(name, open); err != nil {
			fmt.Fprintln(os.Stderr, name, err)
		}
	}
}

func weigh(name string, open func(string) (db, error)) error {
	dir, err := os.MkdirTemp("", "weigh")
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
	return flips(name, open, dir)
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

// flips turns single bits over in a closed store and counts what that costs.
func flips(name string, open func(string) (db, error), dir string) error {
	const tries = 400
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
	ends := map[verdict]int{}
	for range tries {
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
		cmd.Run() // its end is what counts
		ends[verdict(cmd.ProcessState.ExitCode())]++
	}
	fmt.Printf("%s: %d flips over %d files: %d ended the process, %d could not be opened, %d lost acknowledged records, %d gave wrong ones\n",
		name, tries, len(files), ends[died], ends[shut], ends[lost], ends[wrong])
	return nil
}

// verdict is how a look at a damaged store ends, as a process's exit code.
type verdict int

const (
	good  verdict = 0
	died  verdict = 2 // as the runtime has it
	shut  verdict = 3
	lost  verdict = 4
	wrong verdict = 5
)

const records = 400

func look(open func(string) (db, error), dir string) verdict {
	d, err := open(dir)
	if err != nil {
		return shut
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
