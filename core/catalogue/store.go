package catalogue

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"github.com/go-faster/errors"
)

// Limits of what a store keeps. The current document is kept whatever its size.
const (
	// KeptAnswers is the number of changes whose first answer a resend gets.
	KeptAnswers = 10_000
	// KeptDocumentBytes bounds the documents of earlier revisions.
	KeptDocumentBytes = 8 << 20
)

// ErrChangeIDReused means that a change id came back with another content.
var ErrChangeIDReused = errors.New("the change id stands for another change")

// Change asks for a new revision. The same ChangeID sent again gets the first answer.
type Change struct {
	ChangeID string `cbor:"id"`
	// BaseRevision must be the current revision for the change to apply.
	BaseRevision uint64 `cbor:"base"`
	// Version, when it is not 0, replaces the rule of BaseRevision: the change applies if Version is above the current
	// revision, which it then becomes, and otherwise changes nothing. ChangeID is not looked at.
	Version  uint64 `cbor:"version,omitempty"`
	Document []byte `cbor:"doc"`
	// Source is the text that the document was made from, kept with the revision; nodes do not get it.
	Source []byte `cbor:"source,omitempty"`
	Author string `cbor:"by"`
}

// Answer tells what became of a change.
type Answer struct {
	Applied bool `cbor:"ok"`
	// Revision is the new revision, or the current one on conflict; ChangedBy and ChangeID tell who made it.
	Revision  uint64 `cbor:"rev"`
	ChangedBy string `cbor:"by"`
	ChangeID  string `cbor:"id"`
}

// Revision is one accepted change.
type Revision struct {
	Number        uint64 `cbor:"rev"`
	ChangeID      string `cbor:"id"`
	Author        string `cbor:"by"`
	AppliedUnixMS int64  `cbor:"at"`
	// Document and Source are nil once KeptDocumentBytes has pushed them out.
	Document []byte `cbor:"doc"`
	Source   []byte `cbor:"source,omitempty"`
}

// remembered is the first answer to a change id.
type remembered struct {
	ChangeID string   `cbor:"id"`
	Digest   [32]byte `cbor:"sum"`
	Answer   Answer   `cbor:"ans"`
}

// Store keeps the revisions of the catalogue. It is not safe for concurrent use.
type Store struct {
	// revisions and answers hold the newest at the end.
	revisions []Revision
	answers   []remembered
	byChange  map[string]int
	// dropped is the number of answers forgotten, so that byChange can hold positions that never shift.
	dropped       int
	documentBytes int
}

// NewStore returns a store at revision 0, which has no document.
func NewStore() *Store {
	return &Store{byChange: map[string]int{}}
}

// Current returns the newest revision, the zero Revision before the first change.
func (s *Store) Current() Revision {
	if len(s.revisions) == 0 {
		return Revision{}
	}
	return s.revisions[len(s.revisions)-1]
}

// At returns the revision of that number, while it is kept.
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

// Apply answers a change: compare-and-set on BaseRevision, or the first answer to a resend. The error is
// ErrChangeIDReused.
func (s *Store) Apply(change Change, nowMS int64) (Answer, error) {
	if change.Version != 0 {
		return s.applyVersion(change, nowMS), nil
	}
	digest := change.digest()
	if position, known := s.byChange[change.ChangeID]; known {
		first := s.answers[position-s.dropped]
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
	s.remember(remembered{ChangeID: change.ChangeID, Digest: digest, Answer: answer})
	return answer, nil
}

// applyVersion lets the highest version win. A resend needs no memory: it is not above the version that it made.
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

func (s *Store) remember(first remembered) {
	s.byChange[first.ChangeID] = s.dropped + len(s.answers)
	s.answers = append(s.answers, first)
	if len(s.answers) > KeptAnswers {
		delete(s.byChange, s.answers[0].ChangeID)
		s.answers = s.answers[1:]
		s.dropped++
	}
}

// digest covers everything that makes the change what it is.
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

// StoreImage is the store in a snapshot.
type StoreImage struct {
	Revisions []Revision   `cbor:"revisions"`
	Answers   []remembered `cbor:"answers"`
}

// storedOverhead estimates the encoded size of a revision and of an answer beyond the documents, in bytes.
const storedOverhead = 200

// Size estimates the encoded size of an image, in bytes.
func (s *Store) Size() int {
	return s.documentBytes + storedOverhead*(len(s.revisions)+len(s.answers))
}

// Image returns the store's content; it shares memory with the store.
func (s *Store) Image() StoreImage {
	return StoreImage{Revisions: s.revisions, Answers: s.answers}
}

// RestoreStore returns the store that an image describes.
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
