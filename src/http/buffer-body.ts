/**
 * Reads a message's body into memory up to a limit. What is larger is refused or streamed, since a
 * faulty peer may send bytes without end.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {PassThrough, pipeline} from 'node:stream';
import type {Body} from '../call/index.js';

/**
 * Reads a message's body into memory. A body over the limit ends the message's connection.
 *
 * @param message the message
 * @param limitBytes maximum size of the body
 * @param done called once, with the complete body or with the error that truncated it
 */
export function collectBody(
	message: IncomingMessage,
	limitBytes: number,
	done: (body: Uint8Array | undefined, error: Error | undefined) => void,
): void {
	const chunks: Uint8Array[] = [];
	let bytes = 0;
	message.on('data', (chunk: Uint8Array) => {
		bytes += chunk.length;
		if (bytes > limitBytes) {
			message.destroy(new Error(`the body is larger than ${limitBytes} bytes`));
			return;
		}

		chunks.push(chunk);
	});
	message.once('end', () => {
		done(joinChunks(chunks), undefined);
	});
	message.once('error', (error: Error) => {
		chunks.length = 0;
		done(undefined, error);
	});
}

/**
 * Reads a message's body into memory, or streams it when it is over the limit.
 *
 * @param message the message
 * @param limitBytes maximum size of a buffered body
 * @param done called at most once, with the complete body or a stream, or with the error that
 *   truncated a body within the limit
 */
export function bufferOrStream(
	message: IncomingMessage,
	limitBytes: number,
	done: (body: Body | undefined, error: Error | undefined) => void,
): void {
	const chunks: Uint8Array[] = [];
	let bytes = 0;
	const finish = (): void => {
		done(joinChunks(chunks), undefined);
	};

	const fail = (error: Error): void => {
		chunks.length = 0;
		done(undefined, error);
	};

	const collect = (chunk: Uint8Array): void => {
		chunks.push(chunk);
		bytes += chunk.length;
		if (bytes <= limitBytes) {
			return;
		}

		message.removeListener('data', collect);
		message.removeListener('end', finish);
		message.removeListener('error', fail);
		done(streamRest(message, chunks), undefined);
	};

	message.on('data', collect);
	message.once('end', finish);
	message.once('error', fail);
}

/** A truncated body destroys the stream, which cancels what is sent from it. */
function streamRest(
	message: IncomingMessage,
	chunks: readonly Uint8Array[],
): PassThrough {
	const stream = new PassThrough();
	for (const chunk of chunks) {
		stream.write(chunk);
	}

	pipeline(message, stream, () => undefined);
	return stream;
}

function joinChunks(chunks: readonly Uint8Array[]): Uint8Array {
	return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
}
