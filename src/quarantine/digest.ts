/**
 * The digest that names a request in the quarantine: the same caller sending the same request to
 * the same service, whatever ingress it comes in by.
 */
import {createHash} from 'node:crypto';

/** What makes two requests the same. */
export type DigestParts = {
	readonly caller: string;
	readonly service: string;
	readonly method: string;
	readonly path: string;
	/** Absent when the body is too large to hold. */
	readonly body: Uint8Array | undefined;
};

const digestCharacters = 24;

/**
 * Digests a request.
 *
 * @param parts what makes two requests the same
 * @returns 24 hexadecimal digits
 */
export function digestRequest(parts: DigestParts): string {
	const {caller, service, method, path, body} = parts;
	const hash = createHash('sha256');
	hash.update(JSON.stringify([caller, service, method, path]));
	if (body) {
		hash.update(body);
	}

	return hash.digest('hex').slice(0, digestCharacters);
}
