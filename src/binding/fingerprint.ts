/**
 * Fingerprint of a request: what must be the same when a key is sent again.
 */
import {createHash} from 'node:crypto';

export type RequestParts = {
	readonly method: string;
	/** Path with its query. */
	readonly path: string;
	readonly service: string;
	readonly body: Uint8Array;
};

/**
 * Digests a request.
 *
 * @param request its parts
 * @returns text that differs when any part differs
 */
export function fingerprintRequest(request: RequestParts): string {
	const head = JSON.stringify([request.method, request.path, request.service]);
	return createHash('sha256')
		.update(head)
		.update('\n')
		.update(request.body)
		.digest('base64url');
}
