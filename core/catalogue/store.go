package catalogue

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"github.com/go-faster/errors"
)

// Limits of the content of a store. The current document is always kept, whatever its size.
const (
	// KeptAnswers is the number of changes whose answers are kept for repeated requests. It also limits the number of
	// revisions.
	KeptAnswers = 10_000
	// KeptDocumentBytes limits the total size of the documents and sources of all revisions. Those of the oldest
	// revisions are dropped first.
	KeptDocumentBytes = 8 << 20
)

// ErrChangeIDReused means that a change id was used before for a different change.
var ErrChangeIDReused = errors.New("change id was already used for a different change")

// Change is a request for a new revision. A repeated request with the same ChangeID gets the first answer.
type Change struct {
	ChangeID string `cbor:"id"`
	// BaseRevision must be the current revision, otherwise the change is not applied.
	BaseRevision uint64 `cbor:"base"`
	// Version, if not 0, is used instead of BaseRevision and ChangeID: the change is applied if Version is greater than
	// the current revision, and becomes the number of the new one. Otherwise the change has no effect.
	Version  uint64 `cbor:"version,omitempty"`
	Document []byte `cbor:"doc"`
	// Source is the text from which the document was generated. It is kept with the revision but not sent to nodes.
	Source []byte `cbor:"source,omitempty"`
	Author string `cbor:"by"`
}

// Answer is the result of a change.
type Answer struct {
	Applied bool `cbor:"ok"`
	// Revision is the new revision, or the current one on conflict. ChangedBy and ChangeID are its author and its
	// change.
	Revision  uint64 `cbor:"rev"`
	ChangedBy string `cbor:"by"`
	ChangeID  string `cbor:"id"`
}

// Revision is an accepted change.
type Revision struct {
	Number        uint64 `cbor:"rev"`
	ChangeID      string `cbor:"id"`
	Author        string `cbor:"by"`
	AppliedUnixMS int64  `cbor:"at"`
	// Document and Source are nil if they were dropped because of KeptDocumentBytes.
	Document []byte `cbor:"doc"`
	Source   []byte `cbor:"source,omitempty"`
}

// storedAnswer is the first answer to a change id. Digest identifies the change.
type storedAnswer struct {
	ChangeID string   `cbor:"id"`
	Digest   [32]byte `cbor:"sum"`
	Answer   Answer   `cbor:"ans"`
}

// Store keeps the revisions of the catalogue. It is not safe for concurrent use.
type Store struct {
	// revisions and answers are ordered from the oldest to the newest.
	revisions []Revision
	answers   []storedAnswer
	byChange  map[string]int
	// droppedAnswers is the number of answers dropped so far. The positions in byChange include them, so they don't
	// change when an answer is dropped.
	droppedAnswers int
	documentBytes  int
}

// NewStore returns an empty store at revision 0, which has no document.
func NewStore() *Store {
	return &Store{byChange: map[string]int{}}
}

// Current returns the newest revision, or the zero Revision before the first change.
func (s *Store) Current() Revision {
	if len(s.revisions) == 0 {
		return Revision{}
	}
	return s.revisions[len(s.revisions)-1]
}

// At returns the revision with the number, or false if it is not in the store.
func (s *Store) At(number uint64) (Revision, bool) {
	position, found := slices.BinarySearchFunc(s.revisions, number, func(r Revision, n uint64) int {
		return cmp.Compare(r.Number, n)
	})
	if !found {
		return Revision{}, false
	}
	return s.revisions[position], true
}

// History returns up to limit revisions, newest first.
func (s *Store) History(limit int) []Revision {
	kept := s.revisions[max(0, len(s.revisions)-limit):]
	newestFirst := slices.Clone(kept)
	slices.Reverse(newestFirst)
	return newestFirst
}

// Apply applies a change if BaseRevision is the current revision. A repeated change gets its first answer. The error is
// ErrChangeIDReused.
func (s *Store) Apply(change Change, nowMS int64) (Answer, error) {
	if change.Version != 0 {
		return s.applyVersion(change, nowMS), nil
	}
	digest := change.digest()
	if position, known := s.byChange[change.ChangeID]; known {
		first := s.answers[position-s.droppedAnswers]
		if first.Digest != digest {
			return Answer{}, ErrChangeIDReused
		}
		return first.Answer, nil
	}
	current := s.Current()
	answer := Answer{Revision: current.Number, ChangedBy: current.Author, ChangeID: current.ChangeID}
	if change.BaseRevision == current.Number {
		s.append(Revision{
			Number: current.Number + 1, ChangeID: change.ChangeID, Author: change.Author,
			AppliedUnixMS: nowMS, Document: change.Document,
		})
		answer = Answer{
			Applied: true, Revision: current.Number + 1, ChangedBy: change.Author, ChangeID: change.ChangeID,
		}
	}
	s.storeAnswer(storedAnswer{ChangeID: change.ChangeID, Digest: digest, Answer: answer})
	return answer, nil
}

// applyVersion applies a change with a version greater than the current one. Answers need not be stored for repeated
// changes, since their version is not greater than the revision that they created.
func (s *Store) applyVersion(change Change, nowMS int64) Answer {
	isApplied := change.Version > s.Current().Number
	if isApplied {
		s.append(Revision{
			Number: change.Version, ChangeID: change.ChangeID, Author: change.Author,
			AppliedUnixMS: nowMS, Document: change.Document, Source: change.Source,
		})
	}
	current := s.Current()
	return Answer{
		Applied: isApplied, Revision: current.Number, ChangedBy: current.Author, ChangeID: current.ChangeID,
	}
}

func (s *Store) append(revision Revision) {
	s.revisions = append(s.revisions, revision)
	s.documentBytes += revision.size()
	for i := 0; i < len(s.revisions)-1 && s.documentBytes > KeptDocumentBytes; i++ {
		s.documentBytes -= s.revisions[i].size()
		s.revisions[i].Document, s.revisions[i].Source = nil, nil
	}
	if len(s.revisions) > KeptAnswers {
		s.documentBytes -= s.revisions[0].size()
		s.revisions = s.revisions[1:]
	}
}

func (r *Revision) size() int {
	return len(r.Document) + len(r.Source)
}

func (s *Store) storeAnswer(first storedAnswer) {
	s.byChange[first.ChangeID] = s.droppedAnswers + len(s.answers)
	s.answers = append(s.answers, first)
	if len(s.answers) > KeptAnswers {
		delete(s.byChange, s.answers[0].ChangeID)
		s.answers = s.answers[1:]
		s.droppedAnswers++
	}
}

// digest returns a hash that identifies the change under its ChangeID.
func (c Change) digest() [32]byte {
	sum := sha256.New()
	var base [8]byte
	binary.BigEndian.PutUint64(base[:], c.BaseRevision)
	sum.Write(base[:])
	binary.BigEndian.PutUint64(base[:], uint64(len(c.Author)))
	sum.Write(base[:])
	sum.Write([]byte(c.Author))
	sum.Write(c.Document)
	return [32]byte(sum.Sum(nil))
}

// StoreImage is the snapshot of a Store.
type StoreImage struct {
	Revisions []Revision     `cbor:"revisions"`
	Answers   []storedAnswer `cbor:"answers"`
}

// storedOverheadBytes estimates the encoded size of a revision without its documents, and of an answer.
const storedOverheadBytes = 200

// Size estimates the encoded size of an image, in bytes.
func (s *Store) Size() int {
	return s.documentBytes + storedOverheadBytes*(len(s.revisions)+len(s.answers))
}

// Image returns a snapshot of the store, which shares memory with the store.
func (s *Store) Image() StoreImage {
	return StoreImage{Revisions: s.revisions, Answers: s.answers}
}

// RestoreStore returns a store with the content of the image.
func RestoreStore(image StoreImage) *Store {
	restored := NewStore()
	restored.revisions = image.Revisions
	restored.answers = image.Answers
	for i, first := range image.Answers {
		restored.byChange[first.ChangeID] = i
	}
	for _, revision := range image.Revisions {
		restored.documentBytes += revision.size()
	}
	return restored
}
