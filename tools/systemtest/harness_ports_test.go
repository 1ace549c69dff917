package systemtest

import "testing"

// TestHarness_NoAddressIsGivenTwice covers two processes of a test that were given one port, as neither listened yet.
func TestHarness_NoAddressIsGivenTwice(t *testing.T) {
	seen := map[string]bool{}
	for range 300 {
		for _, address := range freeAddresses(t, 5) {
			if seen[address] {
				t.Fatalf("address %s was given twice", address)
			}
			seen[address] = true
		}
	}
}
