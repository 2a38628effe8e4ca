package btengine

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"regexp"
	"strconv"

	"bramleytack"
)

const bytesPerToken = 4

// maxDirectiveTokens bounds the output length that a prompt can ask for.
const maxDirectiveTokens = 1 << 20

// PromptTokens returns the number of tokens of a prompt.
func PromptTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

// Text returns the text of the token at an index, counted from 0. A prompt with
// the directive [[announce]] has a first token that starts with the request id
// and a slash.
func Text(id bramleytack.RequestID, prompt string, index int) string {
	p := Progress{Request: id, seed: textSeed(id, prompt), announce: ParseDirectives(prompt).Announce}
	return p.Text(index)
}

func textSeed(id bramleytack.RequestID, prompt string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(prompt))
	return h.Sum64()
}

// textOf mixes the seed with the index by the finalizer of splitmix64.
func textOf(seed uint64, index int) string {
	x := seed + uint64(index+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return strconv.Itoa(index) + "-" + strconv.FormatUint(x&0xffffff, 36) + " "
}

// Lengths is a log-normal distribution of output lengths. The zero value gives
// one token.
type Lengths struct {
	// Median is the median length, Sigma the standard deviation of the
	// logarithm of the length.
	Median float64
	Sigma  float64
	// Min and Max bound the length. A Max of zero sets no bound.
	Min int
	Max int
}

// Draw returns the length for a prompt on engines with the given seed.
func (l Lengths) Draw(seed uint64, prompt string) int {
	rng := rand.New(rand.NewPCG(seed, textSeed("", prompt)))
	n := int(math.Min(l.Median*math.Exp(l.Sigma*rng.NormFloat64()), maxDirectiveTokens))
	if l.Max > 0 {
		n = min(n, l.Max)
	}
	return max(n, l.Min, 1)
}

var directivePattern = regexp.MustCompile(`\[\[(tokens|crash|announce)(?:=([0-9]{1,7}))?\]\]`)

// Directives are instructions to the simulated engine in a prompt.
type Directives struct {
	// Tokens is the length of the output. Zero leaves it to the distribution.
	Tokens int
	// Crash makes the engine crash after CrashAfter tokens.
	Crash      bool
	CrashAfter int
	// Announce puts the request id in front of the first token, so that a
	// reader behind other systems can compute the text that it has to get.
	Announce bool
}

// ParseDirectives returns the directives in a prompt. The last one of a kind
// counts.
func ParseDirectives(prompt string) Directives {
	var d Directives
	for _, m := range directivePattern.FindAllStringSubmatch(prompt, -1) {
		// The pattern admits seven digits, so that Atoi fails only on none.
		n, _ := strconv.Atoi(m[2])
		switch m[1] {
		case "crash":
			d.Crash, d.CrashAfter = true, n
		case "announce":
			d.Announce = true
		default:
			d.Tokens = min(n, maxDirectiveTokens)
		}
	}
	return d
}

// Prefixes returns the hashes of the prefixes of a prompt in whole blocks,
// shortest first: FNV-1a over model, version, adapter, each followed by a zero
// byte, and the first n*blockTokens*4 bytes of the prompt.
func Prefixes(m bramleytack.LoadedModel, prompt string, blockTokens int) []uint64 {
	size := blockTokens * bytesPerToken
	list := make([]uint64, 0, len(prompt)/size)
	h := fnv.New64a()
	_, _ = h.Write([]byte(m.Model + "\x00" + m.Version + "\x00" + m.Adapter + "\x00"))
	for len(prompt) >= size {
		_, _ = h.Write([]byte(prompt[:size]))
		list = append(list, h.Sum64())
		prompt = prompt[size:]
	}
	return list
}
