/**
 * Tells whether a body that ends with its connection is whole: only if the peer ended the connection in order. What
 * Node.js reports as an orderly end may be a reset. It stops reading as soon as the connection hangs up, and a
 * failed write takes the error that a read would have reported. So an end counts as orderly only if the
 * connection still has a peer and can still be written to.
 */
import type {ClientRequest, IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);
/** Means nothing to a peer that still reads after a complete request. */
const emptyLine = '\r\n';

/**
 * Tells whether a response has a body.
 *
 * @param request the request of the response
 * @param response the response
 */
export function hasBody(request: ClientRequest, response: IncomingMessage): boolean {
	return request.method !== 'HEAD' && !bodilessStatuses.has(response.statusCode!);
}

/**
 * Tells whether neither a length nor a last chunk marks the end of a response's body.
 *
 * @param request the request of the response
 * @param response the response
 */
export function endsWithConnection(
	request: ClientRequest,
	response: IncomingMessage,
): boolean {
	return hasBody(request, response) && !isEndMarked(response);
}

/**
 * Waits until it is known whether a body is whole that its reader takes for complete. To be called when the response
 * begins; a body that ends by a length or a last chunk needs no more than these.
 *
 * @param request the request of the response
 * @param response the response
 * @returns why the end of the connection does not prove that the body is whole; undefined if it is
 */
export async function awaitWholeBody(
	request: ClientRequest,
	response: IncomingMessage,
): Promise<Error | undefined> {
	return endsWithConnection(request, response)
		? awaitOrderlyEnd(response.socket, request)
		: undefined;
}

function isEndMarked({headers}: IncomingMessage): boolean {
	return (
		headers['content-length'] !== undefined ||
		headers['transfer-encoding']?.toLowerCase() === 'chunked'
	);
}

/** Finds why the end of a connection is not orderly; undefined if it is. */
async function awaitOrderlyEnd(
	socket: Socket,
	request: ClientRequest,
): Promise<Error | undefined> {
	return new Promise(resolve => {
		const confirm = (): void => {
			// The system knows no peer of a connection that was reset, unlike one whose peer has only ended it.
			if (socket.remoteAddress === undefined) {
				resolve(new Error('the connection was reset'));
				return;
			}

			if (socket.writableLength > 0) {
				resolve(undefined);
				return;
			}

			// Within the body of the request, only a write of nothing changes nothing.
			socket.write(request.writableFinished ? emptyLine : '', error => {
				resolve(error ?? undefined);
			});
		};

		// Before the listener of Node.js, which destroys the socket.
		socket.prependOnceListener('end', confirm);
		socket.once('error', resolve);
		socket.once('close', () => {
			resolve(new Error('the connection closed before the end of the body'));
		});
	});
}
