/**
 * A caller with a plain socket. It takes an answer for whole by what reaches its socket alone: by the length or the
 * last chunk, or, without either, by the orderly end of the connection.
 */
import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

export type RawRequest = {
	readonly port: number;
	readonly requestId: string;
	readonly method?: string;
	readonly path?: string;
	readonly version?: '1.0' | '1.1';
	readonly body?: string;
	/** Whether the body is sent as one chunk instead of with its length. */
	readonly isChunked?: boolean;
	/** Writes its body no faster than this; at once if absent. */
	readonly uploadBytesPerSecond?: number | undefined;
	/** Reads no faster than this; as fast as the connection allows if absent. */
	readonly bytesPerSecond?: number;
};

export type RawAnswer = {
	/** Of the final answer; 0 without one. */
	readonly status: number;
	readonly isWhole: boolean;
	/** Whether a length or chunks mark the end of the body. */
	readonly isMarked: boolean;
	readonly body: string;
	readonly head: string;
};

type ReadBody = Pick<RawAnswer, 'body' | 'isWhole'>;

const host = '127.0.0.1';
const lineBreak = '\r\n';
const headEnd = '\r\n\r\n';
const pauseMilliseconds = 10;

/**
 * Sends a request on a connection of its own.
 *
 * @param request the request
 * @returns the answer, once it is whole or the connection has ended
 */
export async function sendRaw(request: RawRequest): Promise<RawAnswer> {
	return new Promise(resolve => {
		const socket = connect(request.port, host);
		const pieces: Uint8Array[] = [];
		const read = (hasEnded: boolean): RawAnswer =>
			readAnswer(Buffer.concat(pieces).toString('latin1'), hasEnded);
		const finish = (hasEnded: boolean): void => {
			resolve(read(hasEnded));
			socket.destroy();
		};

		socket.on('data', piece => {
			pieces.push(piece);
			if (request.bytesPerSecond !== undefined) {
				socket.pause();
				setTimeout(
					() => socket.resume(),
					Math.max(pauseMilliseconds, (piece.length / request.bytesPerSecond) * 1000),
				);
			}

			if (read(false).isWhole) {
				finish(false);
			}
		});
		socket.once('end', () => {
			finish(true);
		});
		socket.on('error', () => {
			finish(false);
		});
		socket.write(formatHead(request));
		void writeBody(socket, request);
	});
}

async function writeBody(
	socket: Socket,
	{body = '', isChunked, uploadBytesPerSecond}: RawRequest,
): Promise<void> {
	const pieceBytes =
		uploadBytesPerSecond === undefined
			? body.length
			: (uploadBytesPerSecond * pauseMilliseconds) / 1000;
	for (let at = 0; at < body.length && !socket.destroyed; at += pieceBytes) {
		socket.write(body.slice(at, at + pieceBytes));
		if (pieceBytes < body.length) {
			await sleep(pauseMilliseconds);
		}
	}

	if (isChunked && !socket.destroyed) {
		socket.write('\r\n0\r\n\r\n');
	}
}

function formatHead(request: RawRequest): string {
	const {method = 'GET', path = '/book/1', version = '1.1', body, isChunked} = request;
	const length = body?.length ?? 0;
	const lines = [
		`${method} ${path} HTTP/${version}`,
		'Host: bays.example',
		`X-Request-Id: ${request.requestId}`,
		'X-Request-Deadline: 1400',
		...(body === undefined
			? []
			: [isChunked ? 'Transfer-Encoding: chunked' : `Content-Length: ${length}`]),
	];
	const firstChunk = isChunked ? `${length.toString(16)}\r\n` : '';
	return `${lines.join('\r\n')}${headEnd}${firstChunk}`;
}

function readAnswer(received: string, hasEnded: boolean): RawAnswer {
	const end = received.indexOf(headEnd);
	if (end === -1) {
		return {status: 0, isWhole: false, isMarked: false, body: '', head: received};
	}

	const head = received.slice(0, end);
	const rest = received.slice(end + headEnd.length);
	const status = Number(head.split(' ')[1]);
	if (status >= 100 && status < 200) {
		return readAnswer(rest, hasEnded);
	}

	const length = /^content-length: *(\d+)$/imv.exec(head)?.[1];
	const isChunked = /^transfer-encoding: *chunked$/imv.test(head);
	const isMarked = isChunked || length !== undefined;
	return {
		status,
		head,
		isMarked,
		...(isChunked
			? readChunks(rest)
			: {body: rest, isWhole: isMarked ? rest.length >= Number(length) : hasEnded}),
	};
}

function readChunks(text: string): ReadBody {
	let body = '';
	let offset = 0;
	for (;;) {
		const lineEnd = text.indexOf(lineBreak, offset);
		const size = Number.parseInt(text.slice(offset, lineEnd), 16);
		const start = lineEnd + lineBreak.length;
		const next = start + size + lineBreak.length;
		if (lineEnd === -1 || next > text.length) {
			return {body, isWhole: false};
		}

		if (size === 0) {
			return {body, isWhole: true};
		}

		body += text.slice(start, start + size);
		offset = next;
	}
}
