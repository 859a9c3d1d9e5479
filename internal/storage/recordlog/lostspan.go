package recordlog

// LostSpan is a span of the log of which both copies are lost. It may have contained any records.
type LostSpan struct {
	After, Before uint64 // positions of the records around it; Before is 0 if none follows
	From, To      int64  // times of the records around it, in microseconds of the store's clock
}

// isOutdated reports whether all records that may have been in a span are expired.
func (j *journal) isOutdated(span LostSpan, now int64) bool { return span.To+j.opt.MaxRetention <= now }

// lostSpans collects the lost spans of a scan.
type lostSpans []LostSpan

// add adds a span that begins after a record.
func (l *lostSpans) add(after header) { *l = append(*l, LostSpan{After: after.seq, From: after.at}) }

// close ends all open spans at a record.
func (l lostSpans) close(before header) {
	for i := range l {
		if span := &l[i]; span.Before == 0 {
			span.Before, span.To = before.seq, before.at
		}
	}
}

// end ends all open spans at time now, because no record follows them.
func (l lostSpans) end(now int64) {
	for i := range l {
		if l[i].Before == 0 {
			l[i].To = now
		}
	}
}
