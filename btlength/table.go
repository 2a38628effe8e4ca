package btlength

// table maps keys to histograms and evicts the least recently used one when
// it is full. Slots live in one slice and are linked by index, which costs
// fewer pointers than a list element per key.
type table[K comparable] struct {
	size  int
	index map[K]int32
	slots []slot[K]
	// newest and oldest end the list of slots by last use.
	newest, oldest int32
}

type slot[K comparable] struct {
	key          K
	newer, older int32
	histogram    histogram
}

const none = -1

// find returns the histogram of k, or nil.
func (t *table[K]) find(k K) *histogram {
	i, ok := t.index[k]
	if !ok {
		return nil
	}
	t.touch(i)
	return &t.slots[i].histogram
}

// obtain returns the histogram of k, which it makes if there is none.
func (t *table[K]) obtain(k K) *histogram {
	if h := t.find(k); h != nil {
		return h
	}
	if t.index == nil {
		t.index = make(map[K]int32)
		t.newest, t.oldest = none, none
	}
	i := t.vacate()
	t.slots[i] = slot[K]{key: k, newer: none, older: none}
	t.index[k] = i
	t.push(i)
	return &t.slots[i].histogram
}

// vacate returns an unlinked slot.
func (t *table[K]) vacate() int32 {
	if len(t.slots) < t.size {
		t.slots = append(t.slots, slot[K]{})
		return int32(len(t.slots) - 1)
	}
	i := t.oldest
	delete(t.index, t.slots[i].key)
	t.unlink(i)
	return i
}

func (t *table[K]) touch(i int32) {
	if t.newest != i {
		t.unlink(i)
		t.push(i)
	}
}

func (t *table[K]) unlink(i int32) {
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

func (t *table[K]) push(i int32) {
	s := &t.slots[i]
	s.newer, s.older = none, t.newest
	if t.newest == none {
		t.oldest = i
	} else {
		t.slots[t.newest].newer = i
	}
	t.newest = i
}
