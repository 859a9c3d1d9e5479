package gossip

import (
	"saffronquay/internal/cluster/swim"
	"time"
)

// call runs f on the goroutine that owns the core, and waits for it. It returns ErrClosed if the
// driver has stopped or does not respond within callTimeout. In that case f may still run later, so
// f must not write to the caller's variables.
func (p *Driver) call(f func(now int64)) error {
	finished := make(chan struct{})
	t := time.NewTimer(callTimeout)
	defer t.Stop()
	select {
	case p.calls <- func(now int64) { f(now); close(finished) }:
	case <-p.done:
		return ErrClosed
	case <-t.C:
		return ErrClosed
	}
	select {
	case <-finished:
		return nil
	case <-p.done:
		return ErrClosed
	case <-t.C:
		return ErrClosed
	}
}

// View returns a copy of the view, and the time on the driver's clock at which it was taken. It
// returns ErrClosed if the driver has stopped or does not respond.
func (p *Driver) View() (v swim.View, now int64, err error) {
	got := make(chan swim.View, 1)
	at := make(chan int64, 1)
	if err = p.call(func(now int64) { at <- now; got <- p.core.View(now) }); err != nil {
		return swim.View{}, 0, err
	}
	return <-got, <-at, nil
}

// Counts contains the counters of the core and the driver, and the sizes of the view.
type Counts struct {
	swim.Counts
	AliveCount       int // alive or suspected members
	EffectiveSize    int // see swim.Core.EffectiveSize
	Suspected        int
	Dead             int
	HealthScore      int   // of this process: 0 healthy, 8 at worst
	NameConflict     int   // 1 if another live process has this one's name
	DroppedByAddress int64 // datagrams and connections from addresses that are not allowed
	DroppedByLimit   int64 // datagrams and exchanges beyond a limit of the driver
	SendFailures     int64 // datagrams that could not be sent, and connections that failed
	Traffic          Traffic
}

// Counts returns the current counters. All are 0 if the driver has stopped or does not respond.
func (p *Driver) Counts() (c Counts) {
	got := make(chan Counts, 1)
	if p.call(func(now int64) {
		v := p.core.View(now)
		k := Counts{Counts: p.core.Counts(), AliveCount: v.AliveCount, EffectiveSize: v.EffectiveSize, HealthScore: v.HealthScore}
		for _, m := range v.Members {
			switch m.State {
			case swim.Suspected:
				k.Suspected++
			case swim.Dead:
				k.Dead++
			}
		}
		if v.NameConflict || v.Superseded {
			k.NameConflict = 1
		}
		got <- k
	}) != nil {
		return c
	}
	c = <-got
	c.DroppedByAddress, c.DroppedByLimit, c.SendFailures, c.Traffic = p.droppedByAddress.Load(), p.droppedByLimit.Load(), p.sendFailures.Load(), p.Traffic()
	return c
}

// SetMetadata changes the metadata of this process. It does not wait for the change: change runs on
// the driver's goroutine and must not block.
func (p *Driver) SetMetadata(change func(swim.Metadata) swim.Metadata) {
	go func() {
		_ = p.call(func(now int64) { p.core.SetMetadata(now, change(p.core.Self().Metadata)) }) // after the driver has stopped there is nothing to announce
	}()
}

// Forget marks a dead member as left; see swim.Core.Forget. It returns ErrClosed if the driver has
// stopped or does not respond.
func (p *Driver) Forget(name string) error {
	got := make(chan error, 1)
	if err := p.call(func(now int64) { got <- p.core.Forget(now, name) }); err != nil {
		return err
	}
	return <-got
}

// Leave announces that this process leaves the fleet. It still answers messages, but is not a
// member until it is restarted.
func (p *Driver) Leave() error { return p.call(func(now int64) { p.core.Leave(now) }) }
