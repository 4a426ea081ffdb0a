/**
 * A message's body as a stream of larger pieces. The parser hands out each chunk by itself, and every stream on the
 * way keeps them one by one up to its limit in bytes; so small pieces are joined before any stream holds them.
 */
import type {IncomingMessage} from 'node:http';
import process from 'node:process';
import {Readable} from 'node:stream';
import {createByteCollector, createTooFineError} from './byte-collector.js';

/** Pieces are handed on from this size on, or when nothing more has arrived. */
const joinedBytes = 16_384;

/**
 * Streams a body. A truncated body destroys the stream, and the other way round.
 *
 * @param message the message
 * @param first what was read of the body before
 * @returns the stream
 */
export function joinPieces(
	message: IncomingMessage,
	first: Uint8Array = new Uint8Array(0),
): Readable {
	const collector = createByteCollector();
	collector.add(first);
	let isScheduled = false;
	let isFull = false;
	const stream = new Readable({
		read() {
			isFull = false;
			handOn();
			if (!isFull) {
				resumeMessage(message);
			}
		},
		destroy(error, done) {
			message.destroy(error ?? undefined);
			done(error);
		},
	});

	function handOn(): void {
		if (isFull || stream.destroyed || collector.byteLength() === 0) {
			return;
		}

		isFull = !stream.push(collector.take());
		if (isFull) {
			// By then the parser is done with what was read, which would else be kept in pieces.
			process.nextTick(() => {
				if (isFull) {
					pauseMessage(message);
				}
			});
		}
	}

	function collect(piece: Uint8Array): void {
		collector.add(piece);
		if (collector.isTooFine()) {
			stream.destroy(createTooFineError());
			return;
		}

		if (collector.byteLength() >= joinedBytes) {
			handOn();
			return;
		}

		if (!isScheduled) {
			isScheduled = true;
			setImmediate(() => {
				isScheduled = false;
				handOn();
			});
		}
	}

	// A body may be cut off before anybody reads it; whoever reads it later finds it destroyed.
	stream.on('error', () => undefined);
	message.on('data', collect);
	message.once('end', () => {
		if (collector.byteLength() > 0) {
			stream.push(collector.take());
		}

		stream.push(null);
	});
	message.once('error', error => {
		stream.destroy(error);
	});
	message.once('close', () => {
		if (!message.readableEnded) {
			stream.destroy(new Error('the body was truncated'));
		}
	});
	handOn();
	return stream;
}

/** Stops the connection at once; the message alone would first take in more pieces, up to its limit in bytes. */
function pauseMessage(message: IncomingMessage): void {
	message.pause();
	if (!message.complete) {
		message.socket?.pause();
	}
}

function resumeMessage(message: IncomingMessage): void {
	message.resume();
	if (!message.complete) {
		message.socket?.resume();
	}
}
