package btmemory

const (
	// headByteCost and headLineCost are the bytes that net/http and what comes after it keep of
	// a head, for each byte and for each line: a line that grows, and the map entry, the list
	// and the strings of a field with a short name, twice where a head is passed on.
	headByteCost = 2
	headLineCost = 160
)

// HeadCost returns the memory that a part of an HTTP head takes until its end has been read, in
// bytes.
func HeadCost(n, lines int) int { return headByteCost*n + headLineCost*lines }
