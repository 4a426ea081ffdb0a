/** Runs one request of a stand-in server, from its head to the last byte of its answer. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {Readable} from 'node:stream';
import {pipeline} from 'node:stream/promises';
import process from 'node:process';
import {drawServiceTime, type Faults, type ServerOptions} from './behaviour.js';
import {runStates, type Journal, type JournalEntry} from './journal.js';
import {type Slots} from './slots.js';

const answerChunkBytes = 65_536;
const longestTimerMilliseconds = 2_000_000_000;

/** What a run needs of its server. */
export type RunContext = {
	readonly options: ServerOptions;
	readonly faults: Faults;
	readonly journal: Journal;
	readonly slots: Slots;
	readonly startedAt: number;
	readonly random: () => number;
};

/**
 * Runs a request once a slot is free, or sheds it.
 *
 * @param context the server
 * @param incoming the request
 * @param answer receives the answer
 */
export async function runRequest(
	context: RunContext,
	incoming: IncomingMessage,
	answer: ServerResponse,
): Promise<void> {
	const {faults, slots} = context;
	const cancellation = watchCancellation(faults, incoming, answer);
	const isHeld = !faults.shed && (await slots.acquire());
	if (!isHeld) {
		shed(incoming, answer);
		return;
	}

	try {
		if (cancellation.aborted) {
			refuse(answer, 504, 'cancelled before it ran');
			return;
		}

		await runInSlot(context, incoming, answer, cancellation);
	} finally {
		slots.release();
	}
}

/** Watches for a caller that leaves and for a deadline that passes. */
function watchCancellation(
	faults: Faults,
	incoming: IncomingMessage,
	answer: ServerResponse,
): AbortSignal {
	const controller = new AbortController();
	const remaining = Number(
		incoming.headers['foxtailtide-deadline-ms'] ?? longestTimerMilliseconds,
	);
	const abort = () => {
		if (faults.honoursCancellation) {
			controller.abort();
		}
	};

	const timer = setTimeout(abort, Math.min(remaining, longestTimerMilliseconds));
	answer.on('close', () => {
		clearTimeout(timer);
		if (!answer.writableFinished) {
			abort();
		}
	});
	return controller.signal;
}

async function runInSlot(
	context: RunContext,
	incoming: IncomingMessage,
	answer: ServerResponse,
	cancellation: AbortSignal,
): Promise<void> {
	const {faults, journal} = context;
	const entry = createEntry(incoming);
	journal.begin(entry);
	try {
		if (incoming.headers['x-stand-in-crash'] !== undefined) {
			process.kill(process.pid, 'SIGKILL');
			return;
		}

		if (faults.failFast) {
			entry.state = runStates.failed;
			refuse(answer, 500, 'failing fast');
			return;
		}

		await readBody(incoming, entry);
		await wait(chooseServiceTime(context, incoming), cancellation);
		await sendAnswer(context.options, incoming, answer, entry);
		entry.state = runStates.completed;
	} catch {
		entry.state = runStates.cancelled;
		refuse(answer, 504, 'cancelled');
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
		return longestTimerMilliseconds;
	}

	const wanted = incoming.headers['x-stand-in-service-time-ms'];
	if (wanted !== undefined) {
		return Number(wanted) * faults.straggleFactor;
	}

	return drawServiceTime(options, faults, Date.now() - startedAt, random);
}

async function wait(milliseconds: number, cancellation: AbortSignal): Promise<void> {
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

/** Answers with a description of the request, or with as many bytes as the request asks for. */
async function sendAnswer(
	options: ServerOptions,
	incoming: IncomingMessage,
	answer: ServerResponse,
	entry: JournalEntry,
): Promise<void> {
	answer.setHeader('x-stand-in-server', options.name);
	answer.setHeader('x-stand-in-digest', entry.digest);
	const wantedBytes = incoming.headers['x-stand-in-answer-bytes'];
	if (wantedBytes === undefined) {
		const {requestId, key, digest, bytes} = entry;
		const text = JSON.stringify({
			server: options.name,
			service: options.service,
			requestId,
			key,
			digest,
			bytes,
		});
		answer.setHeader('content-type', 'application/json');
		answer.setHeader('content-length', Buffer.byteLength(text));
		answer.end(text);
		return;
	}

	const length = Number(wantedBytes);
	const cutAfter = Number(
		incoming.headers['x-stand-in-cut-after-bytes'] ?? Number.POSITIVE_INFINITY,
	);
	answer.setHeader('content-length', length);
	await pipeline(Readable.from(generateAnswer(entry.digest, length, cutAfter)), answer);
}

/** Repeats the digest up to the length, and breaks off early when told to. */
function* generateAnswer(
	digest: string,
	length: number,
	cutAfter: number,
): Generator<Uint8Array> {
	const block = Buffer.from(digest.repeat(answerChunkBytes / digest.length));
	const end = Math.min(length, cutAfter);
	for (let sent = 0; sent < end; sent += block.length) {
		yield block.subarray(0, Math.min(block.length, end - sent));
	}

	if (end < length) {
		throw new Error('cut as the request asked');
	}
}

/** Sheds a request: the header says that it was not run, as the servers' contract wants it. */
function shed(incoming: IncomingMessage, answer: ServerResponse): void {
	incoming.resume();
	answer.setHeader('foxtailtide-outcome', 'not-run');
	answer.setHeader('retry-after', '1');
	refuse(answer, 503, 'no free slot');
}

function refuse(answer: ServerResponse, status: number, message: string): void {
	if (answer.headersSent) {
		answer.destroy();
		return;
	}

	const text = JSON.stringify({error: message});
	answer.writeHead(status, {
		'content-type': 'application/json',
		'content-length': Buffer.byteLength(text),
	});
	answer.end(text);
}
