/**
 * Reads a message's body into memory up to a limit. What is larger is refused or streamed, since a
 * faulty peer may send bytes without end.
 */
import type {ClientRequest, IncomingMessage} from 'node:http';
import type {Body} from '../call/index.js';
import {createByteCollector, createTooFineError} from './byte-collector.js';
import {joinPieces} from './joined-pieces.js';
import {awaitSoundResponse} from './sound-response.js';

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
	const collector = createByteCollector();
	message.on('data', (chunk: Uint8Array) => {
		collector.add(chunk);
		if (collector.byteLength() > limitBytes) {
			message.destroy(new Error(`the body is larger than ${limitBytes} bytes`));
		} else if (collector.isTooFine()) {
			message.destroy(createTooFineError());
		}
	});
	message.once('end', () => {
		done(collector.take(), undefined);
	});
	message.once('error', (error: Error) => {
		collector.take();
		done(undefined, error);
	});
}

/**
 * Reads the body of a response into memory. Its head has to be valid, and its end proved.
 *
 * @param exchange the request and its response, which has just begun
 * @param limitBytes maximum size of the body
 * @param done called once, with the complete body or with the error that truncated it
 */
export function collectResponse(
	{
		request,
		response,
	}: {readonly request: ClientRequest; readonly response: IncomingMessage},
	limitBytes: number,
	done: (body: Uint8Array | undefined, error: Error | undefined) => void,
): void {
	const verdict = awaitSoundResponse(request, response);
	collectBody(response, limitBytes, (body, error) => {
		if (body === undefined) {
			done(undefined, error);
			return;
		}

		void verdict.then(fault => {
			done(fault === undefined ? body : undefined, fault);
		});
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
	const collector = createByteCollector();
	const finish = (): void => {
		done(collector.take(), undefined);
	};

	const fail = (error: Error): void => {
		collector.take();
		done(undefined, error);
	};

	const collect = (chunk: Uint8Array): void => {
		collector.add(chunk);
		if (collector.isTooFine()) {
			message.destroy(createTooFineError());
			return;
		}

		if (collector.byteLength() <= limitBytes) {
			return;
		}

		message.removeListener('data', collect);
		message.removeListener('end', finish);
		message.removeListener('error', fail);
		done(joinPieces(message, collector.take()), undefined);
	};

	message.on('data', collect);
	message.once('end', finish);
	message.once('error', fail);
}
