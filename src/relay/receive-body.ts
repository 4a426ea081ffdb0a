/**
 * Receives the body of a request. Bodies up to a limit are buffered, so that they can be sent again
 * and a server gets nothing of a request before it is complete. Larger bodies are streamed.
 */
import type {IncomingMessage} from 'node:http';
import type {Body} from '../call/index.js';
import {bufferOrStream, joinPieces} from '../http/index.js';
import {trackBody, type InboundLink} from '../waiting/index.js';

const maximumBufferedBodyBytes = 1_048_576;
const emptyBody = new Uint8Array(0);

/**
 * Receives a body. If the request is aborted before its body is buffered, `done` is not called.
 *
 * @param request the received request
 * @param link tracks the body while it arrives
 * @param done called at most once, with the buffered body or with a stream
 */
export function receiveBody(
	request: IncomingMessage,
	link: InboundLink,
	done: (body: Body) => void,
): void {
	const length = request.headers['content-length'];
	const isChunked = request.headers['transfer-encoding'] !== undefined;
	if (!isChunked && (length === undefined || length === '0')) {
		request.resume();
		done(emptyBody);
		return;
	}

	if (length !== undefined) {
		const endTracking = trackBody(link, Number(length));
		request.once('end', endTracking);
		request.once('close', endTracking);
	}

	if (length !== undefined && Number(length) > maximumBufferedBodyBytes) {
		done(joinPieces(request));
		return;
	}

	// The close of the response handles an aborted request.
	bufferOrStream(request, maximumBufferedBodyBytes, body => {
		if (body) {
			done(body);
		}
	});
}
