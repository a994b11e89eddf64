package marked

import "time"

// resendSYNs sends or refuses the stored SYNs that are due. It first handles the
// queued packets, which may show that servers did answer.
func (t *traffic) resendSYNs() {
	for {
		n, err := t.reader.Poll()
		if err != nil || n == 0 {
			break
		}
		t.handleBatch(n)
	}
	now := t.readClock()
	t.detectPause(now)
	t.updateTable(now)
	t.sendDueSYNs(now)
	t.resetUnreachable(now)
	t.startProbes()
}

// sendDueSYNs sends or refuses the stored SYNs that are due at now.
func (t *traffic) sendDueSYNs(now time.Duration) {
	if t.awaitsView(now) {
		return
	}
	frameLength := t.codec.FrameLength()
	for {
		r, ok := t.table.NextResend(now)
		if !ok {
			break
		}
		if r.Server == nil {
			t.refuseFlow(now, refusal{
				key: r.Key, reason: r.Reason, priority: r.Priority, waited: r.Waited, evicted: r.Evicted, linkFull: r.LinkFull,
			})
			t.writer.Flush()
			continue
		}
		t.resendBuf = append(t.resendBuf[:0], make([]byte, frameLength)...)
		t.resendBuf = append(t.resendBuf, r.RawSYN...)
		t.forward(t.resendBuf, r.Server)
		t.writer.Flush()
		t.counters.Resent.Add(1)
		if r.Unresponsive != nil { // nil for a held SYN, which is only counted.
			t.log.synResent(now, r.Key, r.Unresponsive, r.Server, t.current)
		}
	}
}
