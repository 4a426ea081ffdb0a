/**
 * Tells whether a body that ends with its connection is whole: only if the peer ended the connection in order. What
 * Node.js reports as an orderly end may be a reset. It stops reading as soon as the connection hangs up, and a
 * failed write takes the error that a read would have reported. So an end counts as orderly only if the
 * connection still has a peer and can still be written to.
 */
import type {ClientRequest, IncomingMessage} from 'node:http';

const chunkedPattern = /(?:^|,)[\t ]*chunked[\t ]*$/iv;
/** Means nothing to a peer that still reads after a complete request. */
const emptyLine = '\r\n';

/**
 * Tells whether a length or a last chunk marks the end of a response's body.
 *
 * @param response the response
 */
export function isEndMarked({headers}: IncomingMessage): boolean {
	const coding = headers['transfer-encoding'];
	return coding === undefined
		? headers['content-length'] !== undefined
		: chunkedPattern.test(coding);
}

/**
 * Waits for the end of a connection on which a response has begun.
 *
 * @param request the request of the response
 * @returns why the end does not prove that the body is whole; undefined if it does
 */
export async function awaitOrderlyEnd(
	request: ClientRequest,
): Promise<Error | undefined> {
	const {socket} = request;
	return new Promise(resolve => {
		if (socket === null) {
			resolve(new Error('the connection is gone'));
			return;
		}

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
