/**
 * Fingerprint of a request, which must be the same each time its key is sent.
 */
import {createHash} from 'node:crypto';

export type RequestParts = {
	readonly method: string;
	/** Path including the query. */
	readonly path: string;
	readonly service: string;
	readonly body: Uint8Array;
};

/**
 * Computes the fingerprint of a request.
 *
 * @param request the parts of the request
 * @returns SHA-256 of all parts, base64url
 */
export function fingerprintRequest(request: RequestParts): string {
	const head = JSON.stringify([request.method, request.path, request.service]);
	return createHash('sha256')
		.update(head)
		.update('\n')
		.update(request.body)
		.digest('base64url');
}
