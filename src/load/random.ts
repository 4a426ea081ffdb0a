/** Numbers that look random and repeat from a seed. */
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';

const steps = 0x7f_ff_ff_ff;

/** The first numbers after a small seed are alike, and far from evenly spread. */
const discardedNumbers = 64;

/**
 * @param seed whole number; the same seed gives the same numbers
 * @returns a source of numbers from 0 up to, not including, 1
 */
export function createRandom(seed: number): () => number {
	const generator = xoroshiro128plus(seed);
	for (let count = 0; count < discardedNumbers; count += 1) {
		generator.unsafeNext();
	}

	return () => unsafeUniformIntDistribution(0, steps - 1, generator) / steps;
}
