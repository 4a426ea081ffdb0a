/** The hash FNV-1a of 32 bits, for buckets and digests; it guards against nothing but chance. */
/* eslint-disable no-bitwise -- a hash is made of bits */
const offsetBasis = 0x81_1c_9d_c5;
const prime = 0x01_00_01_93;

/**
 * Hashes a text.
 *
 * @param text the text
 * @returns 32 bits without sign
 */
export function hashText(text: string): number {
	let hash = offsetBasis;
	for (let index = 0; index < text.length; index += 1) {
		// eslint-disable-next-line unicorn/prefer-code-point
		hash = Math.imul(hash ^ text.charCodeAt(index), prime);
	}

	return hash >>> 0;
}

/**
 * Adds a digest to that of a set, or takes it out again.
 *
 * @param digest digest of the set
 * @param item digest of an item
 * @returns digest of the set with the item, or without it when it was in
 */
export function toggleDigest(digest: number, item: number): number {
	return (digest ^ item) >>> 0;
}
