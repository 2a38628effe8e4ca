package btrecord

import "bramleytack"

// Commitments converts records of commitments.
var Commitments = Codec[bramleytack.Commitment]{
	kind: KindCommitment,
	name: func(c *bramleytack.Commitment) *string { return &c.Name },
	bind: func(b *binder, c *bramleytack.Commitment, _ int) {
		bindName(b, "model", &c.Model, required)
		b.float("tokensPerSecond", &c.TokensPerSecond, atLeast(0))
		if c.TokensPerSecond <= 0 && !b.write {
			b.fail("tokensPerSecond", "is not positive", "a number over 0")
		}
	},
}
