/**
 * The node's view of requests that crash servers. The gate beside a server records which requests ran at a
 * crash; gossip tells the other nodes, so that the request is recognized wherever it comes next.
 *
 * A request is known by its service, method, path and body, once with its caller and once without: it may crash
 * servers whoever sends it, or only for one caller, and what another caller is answered clears the former only.
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {findHeader, isBuffered} from '../call/index.js';
import type {Logger} from '../log/index.js';
import type {Membership} from '../membership/index.js';
import {
	clearSuspicion,
	crashVerdicts,
	createCrashHistory,
	defaultCrashHistoryLimits,
	findCrashVerdict,
	recordCrash,
	recordProof,
	recordSuspicion,
	type Crash,
	type CrashVerdict,
} from '../quarantine/index.js';
import type {RelayCall} from './call.js';

/** What a gate tells the ingress of an attempt that ran at a crash. */
export type ReportedCrash = {
	readonly crashId: string;
	/** Whether the crash proves the request the cause. */
	readonly isProof: boolean;
};

export type CrashQuarantine = {
	readonly findVerdict: (call: RelayCall) => CrashVerdict;
	/** Finds a key by which all nodes choose the same gate for a suspect; undefined for other calls. */
	readonly findSuspectKey: (call: RelayCall) => string | undefined;
	/** Lists the digests by which a call is a suspect, for the gate that is to run it alone. */
	readonly listSuspectDigests: (call: RelayCall) => readonly string[];
	/** Records what the ingress of an attempt knows; its news may come later. */
	readonly recordSuspicion: (digests: readonly string[]) => void;
	/** Records a crash of the local server, and tells the other nodes. */
	readonly recordCrash: (running: readonly RelayCall[]) => ReportedCrash;
	/** Records what another node's gate reported of a call of this node. */
	readonly recordReport: (call: RelayCall, report: ReportedCrash) => void;
	/** Records that a server has answered a call. */
	readonly recordAnswer: (call: RelayCall) => void;
	/** Adds a listener that is called when requests were proven, here or elsewhere. */
	readonly onProof: (listener: () => void) => void;
	/** Shares crashes with the other nodes from now on. */
	readonly attach: (membership: CrashQuarantineMembership) => void;
	readonly state: () => {readonly suspects: number; readonly proven: number};
};

/** Hexadecimal digests of a call. */
type CallDigests = {
	/** The same whoever sends it. */
	readonly forAll: string;
	/** The same for its caller only. */
	readonly forCaller: string;
};

export type CrashQuarantineMembership = Pick<
	Membership,
	'announce' | 'announcements' | 'onAnnouncement'
>;

export type CrashQuarantineOptions = {
	/** Name of this incarnation of the node. */
	readonly nodeName: string;
	readonly log: Logger;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
};

const crashPrefix = 'crash:';
const proofPrefix = 'crashes-servers:';
/** Longer than gossip takes; a restarted node relies on the gates, which know the crashes too. */
const crashLifetimeMilliseconds = 60_000;
const digestBytes = 8;
const digestPattern = /^[\da-f]{16}$/v;
const requestsPerAnnouncement = 36;
/** Announcements that are out at the same time, of crashes and of proofs, to leave room for others. */
const maximumAnnouncements = 96;
const noPayload = new Uint8Array(0);

/**
 * Creates the view of a node that knows of no crashes.
 *
 * @param options the node's name, the log and the clock
 * @returns the view
 */
export function createCrashQuarantine(options: CrashQuarantineOptions): CrashQuarantine {
	const {log, now} = options;
	const history = createCrashHistory();
	const listeners: Array<() => void> = [];
	let membership: CrashQuarantineMembership | undefined;
	let crashCount = 0;

	function announce(prefix: string, name: string, payload: Uint8Array): void {
		const own = membership?.announcements().filter(id => id.startsWith(prefix));
		if (own !== undefined && own.length < maximumAnnouncements) {
			const lifetime =
				prefix === proofPrefix
					? defaultCrashHistoryLimits.provenMilliseconds
					: crashLifetimeMilliseconds;
			membership!.announce(`${prefix}${name}`, payload, lifetime);
		}
	}

	function announceProof(digest: string): void {
		announce(proofPrefix, digest, noPayload);
	}

	function announceCrash(crashId: string, running: readonly CallDigests[]): void {
		for (let start = 0; start < running.length; start += requestsPerAnnouncement) {
			const part = running.slice(start, start + requestsPerAnnouncement);
			const text = part.map(({forAll, forCaller}) => forAll + forCaller).join('');
			announce(crashPrefix, `${crashId}#${start}`, Buffer.from(text, 'hex'));
		}
	}

	/** Returns the digests that the crash proves. */
	function addCrash({forAll, forCaller}: CallDigests, crash: Crash): string[] {
		const proven = [];
		if (recordCrash(history, forAll, {...crash, sender: forCaller}, now())) {
			proven.push(forAll);
		}

		if (recordCrash(history, forCaller, crash, now())) {
			proven.push(forCaller);
		}

		return proven;
	}

	function notifyProof(): void {
		for (const listener of listeners) {
			listener();
		}
	}

	function learn(id: string, payload: Uint8Array): void {
		if (id.startsWith(proofPrefix)) {
			const digest = id.slice(proofPrefix.length);
			if (digestPattern.test(digest)) {
				recordProof(history, digest, now());
				notifyProof();
			}

			return;
		}

		if (id.startsWith(crashPrefix)) {
			const crashId = id.slice(crashPrefix.length, id.lastIndexOf('#'));
			for (const digests of readDigests(payload)) {
				addCrash(digests, {id: crashId, isAlone: false});
			}
		}
	}

	function findVerdict(call: RelayCall): CrashVerdict {
		if (history.entries.size === 0) {
			return crashVerdicts.sound;
		}

		const digests = digestCall(call);
		const forAll = findCrashVerdict(history, digests.forAll, now());
		const forCaller = findCrashVerdict(history, digests.forCaller, now());
		return isStricter(forAll, forCaller) ? forAll : forCaller;
	}

	return {
		findVerdict,
		findSuspectKey: call =>
			findVerdict(call) === crashVerdicts.suspect ? digestCall(call).forAll : undefined,
		listSuspectDigests(call) {
			if (history.entries.size === 0) {
				return [];
			}

			return Object.values(digestCall(call)).filter(
				digest => findCrashVerdict(history, digest, now()) === crashVerdicts.suspect,
			);
		},
		recordSuspicion(digests) {
			for (const digest of digests) {
				if (digestPattern.test(digest)) {
					recordSuspicion(history, digest, now());
				}
			}
		},
		recordCrash(running) {
			crashCount += 1;
			const crashId = `${options.nodeName}/${crashCount}`;
			const crash = {id: crashId, isAlone: running.length === 1};
			const digests = running.map(call => digestCall(call));
			const proven = digests.flatMap(requested => addCrash(requested, crash));
			const isProof = proven.length > 0;
			log.warn('server crashed', {
				crash: crashId,
				requests: running.map(({requestId}) => requestId),
				verdict: isProof ? crashVerdicts.proven : undefined,
				...(isProof && describeCall(running[0]!)),
			});
			announceCrash(crashId, digests);
			for (const digest of proven) {
				announceProof(digest);
			}

			if (isProof) {
				notifyProof();
			}

			return {crashId, isProof};
		},
		recordReport(call, {crashId, isProof}) {
			const digests = digestCall(call);
			if (isProof) {
				recordProof(history, digests.forCaller, now());
				return;
			}

			addCrash(digests, {id: crashId, isAlone: false});
		},
		recordAnswer(call) {
			if (history.entries.size === 0) {
				return;
			}

			for (const digest of Object.values(digestCall(call))) {
				clearSuspicion(history, digest, now());
			}
		},
		onProof(listener) {
			listeners.push(listener);
		},
		attach(joined) {
			membership = joined;
			joined.onAnnouncement(learn);
			for (const id of joined.announcements()) {
				learn(id, noPayload);
			}

			for (const digest of history.entries.keys()) {
				if (findCrashVerdict(history, digest, now()) === crashVerdicts.proven) {
					announceProof(digest);
				}
			}
		},
		state() {
			const verdicts = [...history.entries.keys()].map(digest =>
				findCrashVerdict(history, digest, now()),
			);
			const count = (wanted: CrashVerdict): number =>
				verdicts.filter(verdict => verdict === wanted).length;
			return {
				suspects: count(crashVerdicts.suspect),
				proven: count(crashVerdicts.proven),
			};
		},
	};
}

/** Each node asks several times about a call. */
const knownDigests = new WeakMap<RelayCall, CallDigests>();

function digestCall(call: RelayCall): CallDigests {
	const known = knownDigests.get(call);
	if (known !== undefined) {
		return known;
	}

	const digests = computeDigests(call);
	knownDigests.set(call, digests);
	return digests;
}

/** Digests a call. A body that is streamed counts by its length. */
function computeDigests(call: RelayCall): CallDigests {
	const {service, method, path, body, originService, team = ''} = call;
	const request = createHash('sha256');
	request.update(JSON.stringify([service, method, path]));
	request.update(
		isBuffered(body) ? body : (findHeader(call.headers, 'content-length') ?? ''),
	);
	const forAll = request.digest();
	const forCaller = createHash('sha256');
	forCaller.update(forAll);
	forCaller.update(JSON.stringify([originService, team]));
	return {forAll: shorten(forAll), forCaller: shorten(forCaller.digest())};
}

function shorten(digest: Uint8Array): string {
	return Buffer.from(digest.subarray(0, digestBytes)).toString('hex');
}

function isStricter(left: CrashVerdict, right: CrashVerdict): boolean {
	return (
		left === crashVerdicts.proven ||
		(left === crashVerdicts.suspect && right === crashVerdicts.sound)
	);
}

function readDigests(payload: Uint8Array): CallDigests[] {
	const text = Buffer.from(payload).toString('hex');
	const digests: CallDigests[] = [];
	const length = 2 * digestBytes;
	for (let start = 0; start + 2 * length <= text.length; start += 2 * length) {
		const forAll = text.slice(start, start + length);
		digests.push({forAll, forCaller: text.slice(start + length, start + 2 * length)});
	}

	return digests;
}

/** The query is left out, since it may contain confidential data. */
function describeCall({service, originService, method, path}: RelayCall) {
	const [pathOnly] = path.split('?');
	return {service, origin: originService, method, path: pathOnly};
}
