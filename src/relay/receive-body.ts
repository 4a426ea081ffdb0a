/**
 * Receives the body of a request: whole while it is of moderate size, so that it can be sent
 * again and nothing of a request reaches a server before all of it has come; as a stream beyond.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {PassThrough, pipeline} from 'node:stream';
import type {Body} from '../call/index.js';
import {trackBody, type InboundLink} from '../waiting/index.js';

/** Bodies up to this size are held in memory, in bytes. */
const maximumBufferedBodyBytes = 1_048_576;
const emptyBody = new Uint8Array(0);

/**
 * Receives a body. A request that is cut short before its body is held is dropped with its
 * connection.
 *
 * @param request the received request
 * @param link counts the body while it arrives
 * @param done is called once, with the whole body or a stream of a large one
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
		const endCounting = trackBody(link, Number(length));
		request.once('end', endCounting);
		request.once('close', endCounting);
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

	const take = (chunk: Uint8Array): void => {
		chunks.push(chunk);
		bytes += chunk.length;
		if (bytes <= maximumBufferedBodyBytes) {
			return;
		}

		request.removeListener('data', take);
		request.removeListener('end', finish);
		done(streamRest(request, chunks));
	};

	request.on('data', take);
	request.once('end', finish);
	// The close of the response tells the rest of the node; without a listener it would throw.
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

	// A body that is cut short destroys the stream, which cancels what was sent of it.
	pipeline(request, stream, () => undefined);
	return stream;
}
