package routing

// class is what is learned of one kind of request.
type class struct {
	average  float64 // served latency, ms
	tokens   float64 // average size, where requests state one
	measured bool
}

const learning = 0.08 // weight of a new latency in the moving average

// Usage is what a request states of its size, in tokens.
type Usage struct {
	Prompt, Output int
}

// promptWeight is what a prompt token counts beside a token that is generated.
const promptWeight = 0.01

func (u Usage) size() float64 { return promptWeight*float64(u.Prompt) + float64(u.Output) }

func (t *Table) class(name string, aimMS float64) *class {
	c := t.classes[name]
	if c == nil {
		c = &class{average: max(aimMS, 1)}
		t.classes[name] = c
	}
	return c
}

// Cost predicts how long a request of a class takes, in milliseconds: the moving average of the class, which starts at its latency aim,
// in proportion to the request's tokens where it states them.
func (t *Table) EstimateCost(name string, aimMS float64, u Usage) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.class(name, aimMS)
	if size := u.size(); size > 0 && c.tokens > 0 {
		return c.average * size / c.tokens
	}
	return c.average
}

// Average is the moving average of a class's served latency, in milliseconds.
func (t *Table) AverageLatency(name string, aimMS float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.class(name, aimMS).average
}

// Learn takes in how long a served request took.
func (t *Table) RecordLatency(name string, aimMS, tookMS float64, u Usage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.class(name, aimMS)
	if !c.measured {
		c.average, c.measured = tookMS, true
	} else {
		c.average += learning * (tookMS - c.average)
	}
	if size := u.size(); size > 0 {
		if c.tokens == 0 {
			c.tokens = size
		} else {
			c.tokens += learning * (size - c.tokens)
		}
	}
}
