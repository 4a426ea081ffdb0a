/**
 * Receives the body of a request. Bodies up to a limit are buffered, so that they can be sent again
 * and a server gets nothing of a request before it is complete. Larger bodies are streamed.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {PassThrough, pipeline} from 'node:stream';
import type {Body} from '../call/index.js';
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
		done(request);
		return;
	}

	bufferBody(request, done);
}

function bufferBody(request: IncomingMessage, done: (body: Body) => void): void {
	const chunks: Uint8Array[] = [];
	let bytes = 0;
	const finish = (): void => {
		done(Buffer.concat(chunks));
	};

	const collect = (chunk: Uint8Array): void => {
		chunks.push(chunk);
		bytes += chunk.length;
		if (bytes <= maximumBufferedBodyBytes) {
			return;
		}

		request.removeListener('data', collect);
		request.removeListener('end', finish);
		done(streamRest(request, chunks));
	};

	request.on('data', collect);
	request.once('end', finish);
	// Without a listener the error would be thrown; the close of the response handles the rest.
	request.once('error', () => {
		chunks.length = 0;
	});
}

function streamRest(
	request: IncomingMessage,
	chunks: readonly Uint8Array[],
): PassThrough {
	const stream = new PassThrough();
	for (const chunk of chunks) {
		stream.write(chunk);
	}

	// A truncated body destroys the stream, which cancels the request that was sent with it.
	pipeline(request, stream, () => undefined);
	return stream;
}
