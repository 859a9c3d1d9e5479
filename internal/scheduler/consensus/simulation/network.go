package simulation

import "saffronquay/internal/scheduler/rpc"

const (
	maxDelayMS      = 30  // of most messages
	maxLongDelayMS  = 900 // added for some
	repeatDelayMS   = 200 // delay of the duplicate of a message
	lossChance      = 40  // reciprocal of the probability, like the constants below
	longDelayChance = 60
	repeatChance    = 80
)

// link is the direction from one machine to another, by name.
type link struct{ from, to string }

// delivery is a message in flight.
type delivery struct {
	at      int64
	to      string // name of a machine
	message *rpc.Message
}

// send sends messages of a machine. Each may be lost, delayed or duplicated. Snapshot chunks are
// sent with their data from the machine's disk; a chunk that is no longer there is not sent.
func (w *world) send(m *machine, messages []*rpc.Message) {
	for _, message := range messages {
		if message.Piece != nil {
			number := message.Piece.Number
			if int(number) >= len(m.disk.chunks) {
				continue
			}
			message.Piece = &rpc.SnapshotPiece{Number: number, Data: m.disk.chunks[number]}
		}
		receiver := w.machineOf(message.To)
		if receiver == nil || w.now < w.partitionedUntil[link{m.name, receiver.name}] || w.random.IntN(lossChance) == 0 {
			continue
		}
		delay := int64(w.random.IntN(maxDelayMS))
		if w.random.IntN(longDelayChance) == 0 {
			delay += int64(w.random.IntN(maxLongDelayMS))
		}
		w.inFlight = append(w.inFlight, delivery{w.now + delay, receiver.name, message})
		if w.random.IntN(repeatChance) == 0 {
			w.inFlight = append(w.inFlight, delivery{w.now + delay + repeatDelayMS, receiver.name, message})
		}
	}
}

// machineOf returns the machine that has a replica; nil if the replica's disk is lost.
func (w *world) machineOf(id string) *machine {
	for _, m := range w.machines {
		if m.id == id {
			return m
		}
	}
	return nil
}

// deliver moves due messages to the inboxes of machines that are up. Messages to other machines are
// lost.
func (w *world) deliver() {
	var later []delivery
	for _, d := range w.inFlight {
		if d.at > w.now {
			later = append(later, d)
			continue
		}
		for _, m := range w.machines {
			if m.name == d.to && m.up {
				m.inbox = append(m.inbox, d.message)
			}
		}
	}
	w.inFlight = later
}
