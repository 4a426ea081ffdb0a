/** Seeded pseudo-random numbers. */
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';

const distinctValues = 0x7f_ff_ff_ff;

/** The first numbers after a small seed are similar to each other and far from uniform. */
const discardedValues = 64;

/**
 * Creates a generator of pseudo-random numbers.
 *
 * @param seed integer; the same seed gives the same sequence
 * @returns a function that returns the next number from 0 (inclusive) to 1 (exclusive)
 */
export function createRandom(seed: number): () => number {
	const generator = xoroshiro128plus(seed);
	for (let count = 0; count < discardedValues; count += 1) {
		generator.unsafeNext();
	}

	return () =>
		unsafeUniformIntDistribution(0, distinctValues - 1, generator) / distinctValues;
}
