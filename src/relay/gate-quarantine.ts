/**
 * The gate's part in the quarantine: it tells crashes of the local server from lost connections, lets suspects
 * run alone and refuses requests that are proven to crash servers.
 */
import {attemptResultKinds, isBuffered, type Refusal} from '../call/index.js';
import {isListening} from '../http/index.js';
import {crashVerdicts} from '../quarantine/index.js';
import type {RelayAttempt} from './call.js';
import type {CrashQuarantine} from './crash-quarantine.js';
import {createCrashResult, createQuarantineRefusal} from './crash-result.js';
import {createCrashWatch} from './crash-watch.js';
import type {GateEntry} from './gate-entry.js';
import {serverResultKinds, type ServerResult} from './server-result.js';

/** What a gate needs of the quarantine of its node. */
export type QuarantineOfGate = Pick<
	CrashQuarantine,
	'findVerdict' | 'recordSuspicion' | 'recordCrash' | 'recordAnswer' | 'onProof'
>;

export type GateQuarantineOptions = {
	readonly quarantine: QuarantineOfGate;
	readonly server: {readonly host: string; readonly port: number};
	/** The attempts at the gate, by their keys. */
	readonly entries: ReadonlyMap<string, GateEntry>;
	/** Refuses an attempt that waits. */
	readonly refuseWaiting: (entry: GateEntry, refusal: Refusal) => void;
	/** Called after a crash of the server was recorded. */
	readonly onCrash: () => void;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
};

export type GateQuarantine = {
	/** Finds why an attempt must not run; undefined if it may. */
	readonly findRefusal: (attempt: RelayAttempt) => Refusal | undefined;
	readonly mustRunAlone: (attempt: RelayAttempt) => boolean;
	/** Completes the result of an attempt with the crash at which it ended, if there was one. */
	readonly examine: (entry: GateEntry, result: ServerResult) => Promise<ServerResult>;
	/** Records a result for the verdict on its request. */
	readonly recordResult: (entry: GateEntry, result: ServerResult) => void;
	/** Records that another server process has announced itself. */
	readonly recordNewProcess: () => void;
};

/**
 * Creates the quarantine of a gate.
 *
 * @param options the server, the attempts at the gate, and what is known of requests that crash servers
 * @returns the operations on it
 */
export function createGateQuarantine(options: GateQuarantineOptions): GateQuarantine {
	const {quarantine, entries, server, now} = options;
	const crashWatch = createCrashWatch({
		isListening: async () => isListening(server.host, server.port),
		listRunning: () =>
			new Map(
				[...entries]
					.filter(([, {exchange}]) => exchange !== undefined)
					.map(([key, {attempt}]) => [key, attempt.call]),
			),
		recordCrash: quarantine.recordCrash,
		onCrash: options.onCrash,
		now,
	});

	function isProven({call}: RelayAttempt): boolean {
		return quarantine.findVerdict(call) === crashVerdicts.proven;
	}

	quarantine.onProof(() => {
		for (const entry of entries.values()) {
			if (entry.exchange === undefined && isProven(entry.attempt)) {
				options.refuseWaiting(entry, createQuarantineRefusal());
			}
		}
	});

	return {
		findRefusal(attempt) {
			quarantine.recordSuspicion(attempt.suspectDigests ?? []);
			return isProven(attempt) ? createQuarantineRefusal() : undefined;
		},
		mustRunAlone: ({call}) => quarantine.findVerdict(call) === crashVerdicts.suspect,
		async examine(entry, result) {
			const crash = await crashWatch.check(entry.key);
			return crash === undefined
				? result
				: {
						...result,
						result: createCrashResult(crash),
						reason: `the server crashed (${result.reason})`,
					};
		},
		recordResult(entry, {notice, result}) {
			if (notice) {
				crashWatch.recordAnswer(entry.startedAt);
			}

			if (result.kind === attemptResultKinds.answered && isBuffered(result.body)) {
				quarantine.recordAnswer(entry.attempt.call);
			}
		},
		recordNewProcess: crashWatch.recordNewProcess,
	};
}

/** Whether a crash of the server may have ended an exchange, not its ingress or a faulty response. */
export function mayHaveCrashed({cancelled}: GateEntry, result: ServerResult): boolean {
	return (
		result.kind === serverResultKinds.lost && result.metadata === undefined && !cancelled
	);
}
