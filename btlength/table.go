package btlength

// lruTable maps keys to histograms and evicts the least recently used one when
// it is full. Slots are in one slice and are linked by index, which needs fewer
// pointers than a list element for each key.
type lruTable[K comparable] struct {
	capacity int
	index    map[K]int32
	slots    []slot[K]
	// newest and oldest are the two ends of the list of slots, which is in the
	// order of last use.
	newest, oldest int32
}

type slot[K comparable] struct {
	key          K
	newer, older int32
	histogram    histogram
}

// none is the index of no slot.
const none = -1

// find returns the histogram of k, or nil, and marks it as used.
func (t *lruTable[K]) find(k K) *histogram {
	i, ok := t.index[k]
	if !ok {
		return nil
	}
	t.markUsed(i)
	return &t.slots[i].histogram
}

// getOrCreate returns the histogram of k and creates it if there is none.
func (t *lruTable[K]) getOrCreate(k K) *histogram {
	if h := t.find(k); h != nil {
		return h
	}
	if t.index == nil {
		t.index = make(map[K]int32)
		t.newest, t.oldest = none, none
	}
	i := t.freeSlot()
	t.slots[i] = slot[K]{key: k, newer: none, older: none}
	t.index[k] = i
	t.linkNewest(i)
	return &t.slots[i].histogram
}

// freeSlot returns an unlinked slot. If the table is full, that is the slot of
// the least recently used key, which it removes.
func (t *lruTable[K]) freeSlot() int32 {
	if len(t.slots) < t.capacity {
		t.slots = append(t.slots, slot[K]{})
		return int32(len(t.slots) - 1)
	}
	i := t.oldest
	delete(t.index, t.slots[i].key)
	t.unlink(i)
	return i
}

func (t *lruTable[K]) markUsed(i int32) {
	if t.newest != i {
		t.unlink(i)
		t.linkNewest(i)
	}
}

func (t *lruTable[K]) unlink(i int32) {
	s := &t.slots[i]
	if s.newer == none {
		t.newest = s.older
	} else {
		t.slots[s.newer].older = s.older
	}
	if s.older == none {
		t.oldest = s.newer
	} else {
		t.slots[s.older].newer = s.newer
	}
}

func (t *lruTable[K]) linkNewest(i int32) {
	s := &t.slots[i]
	s.newer, s.older = none, t.newest
	if t.newest == none {
		t.oldest = i
	} else {
		t.slots[t.newest].newer = i
	}
	t.newest = i
}
