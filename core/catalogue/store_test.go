package catalogue

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// storeModel compares a Store with a model that keeps all first answers.
type storeModel struct {
	store    *Store
	sent     []Change
	first    []Answer
	revision uint64
}

func (m *storeModel) apply(t *rapid.T) {
	change := Change{
		ChangeID: fmt.Sprint("c", len(m.sent)), Author: fmt.Sprint("a", len(m.sent)),
		BaseRevision: m.revision - min(m.revision, rapid.Uint64Range(0, 2).Draw(t, "behind")),
		Document:     []byte(fmt.Sprint("d", len(m.sent))),
	}
	before := m.store.Current()
	answer, err := m.store.Apply(change, int64(len(m.sent)))
	if err != nil {
		t.Fatal(err)
	}
	if answer.Applied != (change.BaseRevision == m.revision) {
		t.Fatalf("change with base revision %d at revision %d: answer %v", change.BaseRevision, m.revision, answer)
	}
	if answer.Applied {
		m.revision++
	} else if answer.ChangedBy != before.Author || answer.ChangeID != before.ChangeID {
		t.Fatalf("conflict answer is %v, current revision is %v", answer, before)
	}
	if answer.Revision != m.revision {
		t.Fatalf("answer is %v, want revision %d", answer, m.revision)
	}
	m.sent = append(m.sent, change)
	m.first = append(m.first, answer)
}

func (m *storeModel) resend(t *rapid.T) {
	if len(m.sent) == 0 {
		return
	}
	n := rapid.IntRange(0, len(m.sent)-1).Draw(t, "n")
	answer, err := m.store.Apply(m.sent[n], 0)
	if err != nil || answer != m.first[n] {
		t.Fatalf("repeated change %d: answer %v, error %v; first answer %v", n, answer, err, m.first[n])
	}
	other := m.sent[n]
	other.Document = []byte("other")
	if _, err := m.store.Apply(other, 0); !errors.Is(err, ErrChangeIDReused) {
		t.Fatalf("different change with the same id: error %v", err)
	}
}

func (m *storeModel) restart(*rapid.T) {
	m.store = RestoreStore(m.store.Image())
}

func (m *storeModel) check(t *rapid.T) {
	if m.store.Current().Number != m.revision {
		t.Fatalf("current revision is %d, want %d", m.store.Current().Number, m.revision)
	}
	history := m.store.History(3)
	for i, revision := range history {
		found, ok := m.store.At(revision.Number)
		if !ok || found.ChangeID != revision.ChangeID || revision.Number != m.revision-uint64(i) {
			t.Fatalf("wrong history %v", history)
		}
	}
}

func TestStore_CompareAndSetWithFirstAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &storeModel{store: NewStore()}
		t.Repeat(map[string]func(*rapid.T){"apply": m.apply, "resend": m.resend, "restart": m.restart, "": m.check})
	})
}

func TestStore_EnforcesLimits(t *testing.T) {
	store := NewStore()
	document := make([]byte, KeptDocumentBytes/4)
	for n := range KeptAnswers + 100 {
		if n == 10 {
			document = nil
		}
		change := Change{ChangeID: fmt.Sprint(n), BaseRevision: uint64(n), Document: document}
		if answer, err := store.Apply(change, 0); err != nil || !answer.Applied {
			t.Fatal(answer, err)
		}
		if store.documentBytes > KeptDocumentBytes {
			t.Fatalf("the store keeps %d bytes of documents, more than the limit", store.documentBytes)
		}
	}
	if len(store.answers) != KeptAnswers || len(store.byChange) != KeptAnswers || len(store.revisions) != KeptAnswers {
		t.Fatal(len(store.answers), len(store.byChange), len(store.revisions))
	}
	answer, err := store.Apply(Change{ChangeID: "100", BaseRevision: 100}, 0)
	if err != nil || !answer.Applied || answer.Revision != 101 {
		t.Fatalf("repeated change with the oldest kept answer: answer %v, error %v", answer, err)
	}
}
