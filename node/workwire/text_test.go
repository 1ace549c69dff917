package workwire

import (
	"testing"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/core/runner"
	"flamingohall.example/core/work"
)

// TestText_OneStringThatIsNotUTF8SpoilsNoMessage guards against a string from outside, such as the ID of a worker or of a request, that the
// encoder takes and the decoder refused: each frame that carried it ended its session, and a job that was stored with it could not be
// read by its next holder.
func TestText_OneStringThatIsNotUTF8SpoilsNoMessage(t *testing.T) {
	const odd = "\xff\xfe"
	worker := work.Worker{Incarnation: odd, Pool: odd, Labels: []string{odd}}
	toEntry, err := DecodeToEntry(EncodeToEntry(&work.ToEntry{Probe: 7, Worker: &worker}))
	if err != nil || toEntry.Probe != 7 || toEntry.Worker.Incarnation != odd {
		t.Errorf("to an entry: %+v, %v", toEntry, err)
	}
	toSidecar, err := DecodeToSidecar(EncodeToSidecar(&work.ToSidecar{Echo: 7, Offers: []work.Offer{{Spec: odd, Queue: odd}}}))
	if err != nil || toSidecar.Echo != 7 || toSidecar.Offers[0].Spec != odd {
		t.Errorf("to a sidecar: %+v, %v", toSidecar, err)
	}
	job, err := DecodeSubmission(EncodeSubmission(&dispatch.Submission{ID: "j", Request: odd, Spec: odd}))
	if err != nil || job.Request != odd {
		t.Errorf("stored job: %+v, %v", job, err)
	}
	announced, err := DecodeAnnouncement(EncodeAnnouncement(&runner.Announcement{Worker: worker}))
	if err != nil || announced.Incarnation != odd {
		t.Errorf("announcement: %+v, %v", announced, err)
	}
}
