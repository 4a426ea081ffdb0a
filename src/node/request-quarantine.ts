/**
 * The node's quarantine: requests that crashed or may crash servers, as observed in its own calls
 * or announced by other nodes through gossip. Digests of requests are computed only while it has
 * entries.
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

/** The quarantine as the call runner uses it. */
export type RequestQuarantine = {
	/** Status of a request, if it is quarantined. */
	readonly findStatus: (head: CallHead, body: Body) => QuarantineStatus | undefined;
	/** Records a crash with this request in flight; `alone` if it was the only one. */
	readonly recordCrash: (head: CallHead, body: Body, alone: boolean) => void;
	/**
	 * Announces a suspect whose call ended without proof that it causes crashes or is harmless, so
	 * that other nodes run it alone.
	 */
	readonly announceSuspect: (head: CallHead, body: Body) => void;
	/** Clears a suspect that ran successfully. */
	readonly recordSuccess: (head: CallHead, body: Body) => void;
	readonly state: () => {readonly suspects: number; readonly proven: number};
};

const announcementPrefix = 'quarantine/';
const announcementLifetimeMilliseconds = 60_000;
const noPayload = new Uint8Array(0);

/**
 * Creates the node's quarantine and follows the announcements of other nodes.
 *
 * @param membership sends and receives the announcements
 * @param log where new statuses are logged
 * @param now current time, milliseconds of the monotonic clock
 * @returns the quarantine
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
			recordQuarantineStatus(quarantine, announced.digest, announced.status, now());
		}
	});
	function announce(status: QuarantineStatus, digest: string): void {
		const id = `${announcementPrefix}${status}/${digest}`;
		membership.announce(id, noPayload, announcementLifetimeMilliseconds);
	}

	return {
		findStatus(head, body) {
			if (quarantine.entries.size === 0) {
				return undefined;
			}

			return findQuarantineStatus(quarantine, digestCall(head, body), now());
		},
		recordCrash(head, body, alone) {
			const digest = digestCall(head, body);
			const status = alone ? quarantineStatuses.proven : quarantineStatuses.suspect;
			if (!recordQuarantineStatus(quarantine, digest, status, now())) {
				return;
			}

			logStatus(log, head, status);
			// Only proof is announced here: most suspects are cleared by their next attempt.
			if (alone) {
				announce(status, digest);
			}
		},
		announceSuspect(head, body) {
			announce(quarantineStatuses.suspect, digestCall(head, body));
		},
		recordSuccess(head, body) {
			clearSuspect(quarantine, digestCall(head, body));
		},
		state() {
			const entries = [...quarantine.entries.values()];
			const proven = entries.filter(
				({status}) => status === quarantineStatuses.proven,
			).length;
			return {suspects: entries.length - proven, proven};
		},
	};
}

/** The query is left out, since it may contain confidential data. */
function logStatus(log: Logger, head: CallHead, status: QuarantineStatus): void {
	const {service, caller, method} = head;
	const [path] = head.path.split('?');
	log.warn('request was in flight at a crash', {
		verdict: status,
		service,
		caller,
		method,
		path,
	});
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
): {status: QuarantineStatus; digest: string} | undefined {
	if (!id.startsWith(announcementPrefix)) {
		return undefined;
	}

	const [status, digest] = id.slice(announcementPrefix.length).split('/');
	if (
		(status !== quarantineStatuses.suspect && status !== quarantineStatuses.proven) ||
		!digest
	) {
		return undefined;
	}

	return {status, digest};
}
