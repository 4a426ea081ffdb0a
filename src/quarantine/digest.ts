/**
 * The digest that identifies a request in the quarantine: the same for the same caller, request and
 * service at every ingress.
 */
import {createHash} from 'node:crypto';

/** The parts of a request that identify it. */
export type DigestParts = {
	readonly caller: string;
	readonly service: string;
	readonly method: string;
	readonly path: string;
	/** Absent if the body is too large to buffer. */
	readonly body: Uint8Array | undefined;
};

const digestCharacters = 24;

/**
 * Computes the digest of a request.
 *
 * @param parts the parts that identify the request
 * @returns the first 24 hexadecimal digits of their SHA-256
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
