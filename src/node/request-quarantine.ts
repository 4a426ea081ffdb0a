/**
 * The node's quarantine: what its own calls saw, and what other nodes announce by gossip. The
 * digest of a request is worked out only while something is known against any request.
 */
import {isBuffered, type Body, type CallHead} from '../call/index.js';
import type {Logger} from '../log/index.js';
import type {Membership} from '../membership/index.js';
import {
	clearSuspect,
	createQuarantine,
	digestRequest,
	findQuarantineStatus,
	recordQuarantineStatus,
	quarantineStatuses,
	type QuarantineStatus,
} from '../quarantine/index.js';

/** What the runner of calls asks and tells. */
export type RequestQuarantine = {
	/** What is known against a request. */
	readonly judge: (head: CallHead, body: Body) => QuarantineStatus | undefined;
	/** A server crashed with this request in flight; `alone` if nothing else was. */
	readonly noteCrash: (head: CallHead, body: Body, alone: boolean) => void;
	/** A call ended without proof for or against its request: others must run it alone, too. */
	readonly tellSuspect: (head: CallHead, body: Body) => void;
	/** A suspect has run well. */
	readonly noteGoodRun: (head: CallHead, body: Body) => void;
	readonly state: () => {readonly suspects: number; readonly proven: number};
};

const announcementPrefix = 'quarantine/';
const announcementMilliseconds = 60_000;
const noPayload = new Uint8Array(0);

/**
 * Creates the node's quarantine and joins it to the gossip.
 *
 * @param membership carries the announcements
 * @param log where a proven request is named
 * @param now present time, milliseconds of the monotonic clock
 * @returns what the runner of calls asks and tells
 */
export function createRequestQuarantine(
	membership: Pick<Membership, 'announce' | 'onAnnouncement'>,
	log: Logger,
	now: () => number,
): RequestQuarantine {
	const quarantine = createQuarantine();
	membership.onAnnouncement(id => {
		const announced = parseAnnouncement(id);
		if (announced) {
			recordQuarantineStatus(quarantine, announced.digest, announced.verdict, now());
		}
	});
	function announce(verdict: QuarantineStatus, digest: string): void {
		const id = `${announcementPrefix}${verdict}/${digest}`;
		membership.announce(id, noPayload, announcementMilliseconds);
	}

	return {
		judge(head, body) {
			if (quarantine.entries.size === 0) {
				return undefined;
			}

			return findQuarantineStatus(quarantine, digestCall(head, body), now());
		},
		noteCrash(head, body, alone) {
			const digest = digestCall(head, body);
			const verdict = alone ? quarantineStatuses.proven : quarantineStatuses.suspect;
			if (!recordQuarantineStatus(quarantine, digest, verdict, now())) {
				return;
			}

			logVerdict(log, head, verdict);
			// Most suspects are cleared by their next attempt; only proof is worth the gossip.
			if (alone) {
				announce(verdict, digest);
			}
		},
		tellSuspect(head, body) {
			announce(quarantineStatuses.suspect, digestCall(head, body));
		},
		noteGoodRun(head, body) {
			clearSuspect(quarantine, digestCall(head, body));
		},
		state() {
			const known = [...quarantine.entries.values()];
			const proven = known.filter(
				({status: verdict}) => verdict === quarantineStatuses.proven,
			).length;
			return {suspects: known.length - proven, proven};
		},
	};
}

/** The query is left out: it may hold what does not belong in a log. */
function logVerdict(log: Logger, head: CallHead, verdict: QuarantineStatus): void {
	const {service, caller, method} = head;
	const [path] = head.path.split('?');
	log.warn('request was in flight at a crash', {verdict, service, caller, method, path});
}

function digestCall(head: CallHead, body: Body): string {
	const {caller, service, method, path} = head;
	return digestRequest({
		caller,
		service,
		method,
		path,
		body: isBuffered(body) ? body : undefined,
	});
}

function parseAnnouncement(
	id: string,
): {verdict: QuarantineStatus; digest: string} | undefined {
	if (!id.startsWith(announcementPrefix)) {
		return undefined;
	}

	const [verdict, digest] = id.slice(announcementPrefix.length).split('/');
	if (
		(verdict !== quarantineStatuses.suspect && verdict !== quarantineStatuses.proven) ||
		!digest
	) {
		return undefined;
	}

	return {verdict, digest};
}
