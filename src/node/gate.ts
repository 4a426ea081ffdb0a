/**
 * The gate of the node's own server. Every call to that server passes here, whichever node it
 * came in by, so the gate's count of requests in flight is exact. The gate owns the connections
 * to the server; it refuses as `not-run` whatever it has not handed to the server.
 */
import {Agent} from 'node:http';
import type {Readable} from 'node:stream';
import {
	admissions,
	admitAttempt,
	attemptResultKinds,
	cancelAttempt,
	copyEndToEndHeaders,
	createAttemptTable,
	createRefusal,
	dispatchAttempt,
	findHeader,
	finishAttempt,
	headerNames,
	isWhole,
	outcomes,
	refusalKinds,
	type Admission,
	type AttemptId,
	type AttemptRequest,
	type AttemptResult,
	type Cancellation,
	type Refusal,
	type RunningAttempt,
} from '../call/index.js';
import {
	exchangeKinds,
	startExchange,
	type ExchangeResult,
	type RunningExchange,
} from './exchange.js';

/** The server beside the node, as it announced itself. */
export type LocalServer = {
	readonly name: string;
	readonly service: string;
	readonly host: string;
	readonly port: number;
	/** Requests that it runs at once. */
	readonly slots: number;
};

/** The gate's counts, for the state dump and the load header. */
export type GateState = {
	readonly server: LocalServer | undefined;
	readonly leaving: boolean;
	readonly inFlight: number;
	readonly queued: number;
	readonly dispatched: number;
	readonly refused: number;
};

export type Gate = {
	/** Sets the server, or takes it away when its announcement lapsed. */
	readonly setServer: (server: LocalServer | undefined) => void;
	/** Refuses new work from now on, or takes it again. */
	readonly setLeaving: (leaving: boolean) => void;
	readonly run: (request: AttemptRequest) => RunningAttempt;
	/** Cancels an attempt for the ingress that lost contact, and says what is proven of it. */
	readonly cancelAttempt: (id: AttemptId) => Cancellation;
	readonly state: () => GateState;
	/** Resolves once nothing is in flight or queued. */
	readonly drained: () => Promise<void>;
	readonly close: () => void;
};

type Entry = {
	readonly request: AttemptRequest;
	readonly settle: (result: AttemptResult) => void;
	exchange: RunningExchange | undefined;
};

type GateOptions = {
	/** Present time, milliseconds of the monotonic clock. */
	readonly now: () => number;
};

const serverConnectionLimit = 200;
const idleConnectionMilliseconds = 4000;

/**
 * Creates the gate.
 *
 * @param options clock
 * @returns the gate, without a server yet
 */
export function createGate(options: GateOptions): Gate {
	const {now} = options;
	const agent = new Agent({
		keepAlive: true,
		maxSockets: serverConnectionLimit,
		timeout: idleConnectionMilliseconds,
	});
	const queue: Entry[] = [];
	const attempts = createAttemptTable();
	const idleWaiters: Array<() => void> = [];
	let server: LocalServer | undefined;
	let leaving = false;
	let inFlight = 0;
	let dispatched = 0;
	let refused = 0;

	function refuse(entry: Entry, refusal: Refusal): void {
		refused += 1;
		finishAttempt(attempts, entry.request.id);
		entry.settle({
			kind: attemptResultKinds.refused,
			refusal,
			outcome: outcomes.notRun,
			load: formatLoad(),
		});
	}

	function formatLoad(): string {
		return `${inFlight};${queue.length};${server?.slots ?? 0}`;
	}

	function dispatch(entry: Entry, target: LocalServer): void {
		dispatchAttempt(attempts, entry.request.id);
		inFlight += 1;
		dispatched += 1;
		entry.request.onDispatch?.();
		entry.exchange = startExchange({
			agent,
			host: target.host,
			port: target.port,
			method: entry.request.method,
			path: entry.request.path,
			headers: listServerHeaders(entry.request, now()),
			body: entry.request.body,
			awaitContinue: false,
		});
		void entry.exchange.result.then(result => {
			settleExchange(entry, result);
		});
	}

	function settleExchange(entry: Entry, result: ExchangeResult): void {
		if (result.kind !== exchangeKinds.answered) {
			release(entry);
			entry.settle(describeServerFailure(result, formatLoad()));
			return;
		}

		const {body} = result;
		if (isWhole(body)) {
			release(entry);
		} else {
			releaseWhenClosed(entry, body);
		}

		const answer = readServerAnswer(result, formatLoad());
		entry.settle(answer);
	}

	function releaseWhenClosed(entry: Entry, body: Readable): void {
		body.once('close', () => {
			release(entry);
		});
	}

	function release(entry: Entry): void {
		finishAttempt(attempts, entry.request.id);
		inFlight -= 1;
		const next = server && inFlight < server.slots ? queue.shift() : undefined;
		if (next && server) {
			dispatch(next, server);
		}

		wakeIdleWaiters();
	}

	function wakeIdleWaiters(): void {
		if (inFlight > 0 || queue.length > 0) {
			return;
		}

		for (const wake of idleWaiters.splice(0)) {
			wake();
		}
	}

	function admit(entry: Entry): void {
		const admission = admitAttempt(attempts, entry.request.id);
		if (admission !== admissions.admitted) {
			refuseUnknown(entry, admission);
			return;
		}

		if (leaving) {
			refuse(
				entry,
				createRefusal(refusalKinds.leaving, 'this server is leaving: use another node'),
			);
			return;
		}

		if (server?.service !== entry.request.service) {
			refuse(
				entry,
				createRefusal(
					refusalKinds.noServer,
					`no server of ${entry.request.service} is announced at this node: try again shortly`,
				),
			);
			return;
		}

		if (inFlight < server.slots) {
			dispatch(entry, server);
			return;
		}

		queue.push(entry);
	}

	/** A second copy of an attempt is dropped without a word of its outcome: the first decides. */
	function refuseUnknown(entry: Entry, admission: Admission): void {
		refused += 1;
		entry.settle({
			kind: attemptResultKinds.refused,
			refusal: createRefusal(
				refusalKinds.cancelled,
				`the attempt was not admitted (${admission}): send the request again`,
			),
			outcome: admission === admissions.duplicate ? outcomes.unknown : outcomes.notRun,
			load: formatLoad(),
		});
	}

	function cancelById(id: AttemptId): Cancellation {
		const cancellation = cancelAttempt(attempts, id);
		const entry = queue.find(({request}) => isSameAttempt(request.id, id));
		if (entry) {
			cancel(entry);
		}

		return cancellation;
	}

	function cancel(entry: Entry): void {
		if (entry.exchange) {
			entry.exchange.cancel();
			return;
		}

		const position = queue.indexOf(entry);
		if (position === -1) {
			return;
		}

		queue.splice(position, 1);
		refuse(
			entry,
			createRefusal(refusalKinds.cancelled, 'the caller gave the request up'),
		);
		wakeIdleWaiters();
	}

	return {
		setServer(announced) {
			server = announced;
		},
		setLeaving(value) {
			leaving = value;
		},
		run(request) {
			let settle: (result: AttemptResult) => void;
			const result = new Promise<AttemptResult>(resolve => {
				settle = resolve;
			});
			const entry: Entry = {request, settle: settle!, exchange: undefined};
			admit(entry);
			return {
				result,
				cancel() {
					cancel(entry);
				},
			};
		},
		cancelAttempt: cancelById,
		state: () => ({server, leaving, inFlight, queued: queue.length, dispatched, refused}),
		async drained() {
			if (inFlight === 0 && queue.length === 0) {
				return;
			}

			await new Promise<void>(resolve => {
				idleWaiters.push(resolve);
			});
		},
		close() {
			agent.destroy();
		},
	};
}

function isSameAttempt(one: AttemptId, other: AttemptId): boolean {
	return one.sequence === other.sequence && one.ingress === other.ingress;
}

function listServerHeaders(request: AttemptRequest, now: number): string[] {
	const remaining = Math.max(0, Math.round(request.deadlineAt - now));
	return [
		...request.headers,
		headerNames.deadline,
		String(remaining),
		headerNames.rank,
		request.rank,
		headerNames.caller,
		request.caller,
		headerNames.retries,
		String(request.retries),
	];
}

function describeServerFailure(
	result: Exclude<ExchangeResult, {kind: typeof exchangeKinds.answered}>,
	load: string,
): AttemptResult {
	if (result.kind === exchangeKinds.lost) {
		return {kind: attemptResultKinds.lost, message: result.message};
	}

	return {
		kind: attemptResultKinds.refused,
		refusal: createRefusal(
			refusalKinds.serverFailed,
			`the server takes no connection (${result.message}): try again shortly`,
		),
		outcome: outcomes.notRun,
		load,
	};
}

/** A server that sheds a request says so itself by the outcome header of its answer. */
function readServerAnswer(
	result: Extract<ExchangeResult, {kind: typeof exchangeKinds.answered}>,
	load: string,
): AttemptResult {
	const declared = findHeader(result.rawHeaders, headerNames.outcome);
	if (declared !== outcomes.notRun) {
		return {
			kind: attemptResultKinds.answered,
			status: result.status,
			headers: copyEndToEndHeaders(result.rawHeaders),
			body: result.body,
			load,
		};
	}

	if (!isWhole(result.body)) {
		result.body.destroy();
	}

	return {
		kind: attemptResultKinds.refused,
		refusal: createRefusal(
			refusalKinds.overloaded,
			'the server shed the request: try again shortly',
		),
		outcome: outcomes.notRun,
		load,
	};
}
