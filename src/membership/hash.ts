/** 32-bit FNV-1a hash for buckets and digests; not secure against deliberate collisions. */
/* eslint-disable no-bitwise -- the hash works on bits */
const offsetBasis = 0x81_1c_9d_c5;
const prime = 0x01_00_01_93;

/**
 * Hashes the UTF-16 code units of a text.
 *
 * @param text the text
 * @returns unsigned 32-bit hash
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
 * Adds an item to the digest of a set, or removes it again, by XOR.
 *
 * @param digest digest of the set
 * @param item digest of an item
 * @returns digest of the set with the item added, or removed if it was included
 */
export function toggleDigest(digest: number, item: number): number {
	return (digest ^ item) >>> 0;
}
