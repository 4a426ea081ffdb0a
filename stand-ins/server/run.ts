/** Processes one request of a stand-in server, from its headers to the last response byte. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {Readable} from 'node:stream';
import {pipeline} from 'node:stream/promises';
import process from 'node:process';
import {drawServiceTime, type Faults, type ServerOptions} from './behaviour.js';
import {runStates, type Journal, type JournalEntry} from './journal.js';
import {type Slots} from './slots.js';

const responseChunkBytes = 65_536;
const maximumTimerMilliseconds = 2_000_000_000;

/** State of the server that processing a request needs. */
export type RunContext = {
	readonly options: ServerOptions;
	readonly faults: Faults;
	readonly journal: Journal;
	readonly slots: Slots;
	readonly startedAt: number;
	readonly random: () => number;
};

/**
 * Processes a request once a slot is free, or sheds it when the queue is full.
 *
 * @param context state of the server
 * @param incoming the request
 * @param response the response to write
 */
export async function runRequest(
	context: RunContext,
	incoming: IncomingMessage,
	response: ServerResponse,
): Promise<void> {
	const {faults, slots} = context;
	const cancellation = watchCancellation(faults, incoming, response);
	const isAcquired = !faults.shed && (await slots.acquire());
	if (!isAcquired) {
		shed(incoming, response);
		return;
	}

	try {
		if (cancellation.aborted) {
			sendError(response, 504, 'cancelled before it ran');
			return;
		}

		await runInSlot(context, incoming, response, cancellation);
	} finally {
		slots.release();
	}
}

/** Aborts the signal when the caller disconnects or the deadline passes. */
function watchCancellation(
	faults: Faults,
	incoming: IncomingMessage,
	response: ServerResponse,
): AbortSignal {
	const controller = new AbortController();
	const remainingMilliseconds = Number(
		incoming.headers['foxtailtide-deadline-ms'] ?? maximumTimerMilliseconds,
	);
	const abort = () => {
		if (faults.honoursCancellation) {
			controller.abort();
		}
	};

	const timer = setTimeout(
		abort,
		Math.min(remainingMilliseconds, maximumTimerMilliseconds),
	);
	response.on('close', () => {
		clearTimeout(timer);
		if (!response.writableFinished) {
			abort();
		}
	});
	return controller.signal;
}

async function runInSlot(
	context: RunContext,
	incoming: IncomingMessage,
	response: ServerResponse,
	cancellation: AbortSignal,
): Promise<void> {
	const {faults, journal} = context;
	const entry = createEntry(incoming);
	journal.recordStart(entry);
	try {
		if (incoming.headers['x-stand-in-crash'] !== undefined) {
			process.kill(process.pid, 'SIGKILL');
			return;
		}

		if (faults.failFast) {
			entry.state = runStates.failed;
			sendError(response, 500, 'failing fast');
			return;
		}

		await readBody(incoming, entry);
		await waitOrAbort(chooseServiceTime(context, incoming), cancellation);
		await sendResponse(context.options, incoming, response, entry);
		entry.state = runStates.completed;
	} catch {
		entry.state = runStates.cancelled;
		sendError(response, 504, 'cancelled');
	}
}

function createEntry(incoming: IncomingMessage): JournalEntry {
	return {
		requestId: String(incoming.headers['x-request-id'] ?? ''),
		key: String(incoming.headers['idempotency-key'] ?? ''),
		path: incoming.url ?? '',
		startedAt: Date.now(),
		state: runStates.running,
		digest: '',
		bytes: 0,
	};
}

async function readBody(incoming: IncomingMessage, entry: JournalEntry): Promise<void> {
	const hash = createHash('sha256');
	for await (const chunk of incoming as AsyncIterable<Uint8Array>) {
		hash.update(chunk);
		entry.bytes += chunk.byteLength;
	}

	entry.digest = hash.digest('hex');
}

function chooseServiceTime(context: RunContext, incoming: IncomingMessage): number {
	const {options, faults, startedAt, random} = context;
	if (faults.hang) {
		return maximumTimerMilliseconds;
	}

	const requestedTime = incoming.headers['x-stand-in-service-time-ms'];
	if (requestedTime !== undefined) {
		return Number(requestedTime) * faults.straggleFactor;
	}

	return drawServiceTime(options, faults, Date.now() - startedAt, random);
}

async function waitOrAbort(
	milliseconds: number,
	cancellation: AbortSignal,
): Promise<void> {
	cancellation.throwIfAborted();
	if (milliseconds <= 0) {
		return;
	}

	await new Promise<void>((resolve, reject) => {
		const abort = () => {
			clearTimeout(timer);
			reject(new Error('cancelled'));
		};

		const timer = setTimeout(() => {
			cancellation.removeEventListener('abort', abort);
			resolve();
		}, milliseconds);
		cancellation.addEventListener('abort', abort, {once: true});
	});
}

/** Responds with a description of the request, or with the number of bytes that it asks for. */
async function sendResponse(
	options: ServerOptions,
	incoming: IncomingMessage,
	response: ServerResponse,
	entry: JournalEntry,
): Promise<void> {
	response.setHeader('x-stand-in-server', options.name);
	response.setHeader('x-stand-in-digest', entry.digest);
	const requestedBytes = incoming.headers['x-stand-in-answer-bytes'];
	if (requestedBytes === undefined) {
		const {requestId, key, digest, bytes} = entry;
		const text = JSON.stringify({
			server: options.name,
			service: options.service,
			requestId,
			key,
			digest,
			bytes,
		});
		response.setHeader('content-type', 'application/json');
		response.setHeader('content-length', Buffer.byteLength(text));
		response.end(text);
		return;
	}

	const length = Number(requestedBytes);
	const cutAfterBytes = Number(
		incoming.headers['x-stand-in-cut-after-bytes'] ?? Number.POSITIVE_INFINITY,
	);
	response.setHeader('content-length', length);
	await pipeline(
		Readable.from(generateBody(entry.digest, length, cutAfterBytes)),
		response,
	);
}

/** Yields the digest repeated up to `length` bytes; throws after `cutAfterBytes` if that is less. */
function* generateBody(
	digest: string,
	length: number,
	cutAfterBytes: number,
): Generator<Uint8Array> {
	const block = Buffer.from(digest.repeat(responseChunkBytes / digest.length));
	const end = Math.min(length, cutAfterBytes);
	for (let sent = 0; sent < end; sent += block.length) {
		yield block.subarray(0, Math.min(block.length, end - sent));
	}

	if (end < length) {
		throw new Error('response cut off as requested');
	}
}

/** Sheds a request; the servers' contract requires the header that says it was not run. */
function shed(incoming: IncomingMessage, response: ServerResponse): void {
	incoming.resume();
	response.setHeader('foxtailtide-outcome', 'not-run');
	response.setHeader('retry-after', '1');
	sendError(response, 503, 'no free slot');
}

function sendError(response: ServerResponse, status: number, message: string): void {
	if (response.headersSent) {
		response.destroy();
		return;
	}

	const text = JSON.stringify({error: message});
	response.writeHead(status, {
		'content-type': 'application/json',
		'content-length': Buffer.byteLength(text),
	});
	response.end(text);
}
