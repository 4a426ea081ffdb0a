/** Listeners of membership. An error in one is logged and does not affect the others. */
import {consola} from 'consola';
import {type Member} from './member.js';
import {
	type AnnouncementListener,
	type MemberListener,
	type ProofListener,
	type VersionListener,
} from './membership.js';

export type Listeners = {
	readonly onMemberChange: (listener: MemberListener) => void;
	readonly onVersion: (listener: VersionListener) => void;
	readonly onProof: (listener: ProofListener) => void;
	readonly onAnnouncement: (listener: AnnouncementListener) => void;
	readonly notifyMember: MemberListener;
	readonly notifyVersion: VersionListener;
	readonly notifyProof: ProofListener;
	readonly notifyAnnouncement: AnnouncementListener;
	readonly logSuperseded: (nodeId: string, incarnation: number) => void;
	/** Logs an unexpected error in the handling of an event. */
	readonly logFailure: (error: unknown) => void;
};

/**
 * Creates an empty set of listeners.
 *
 * @returns functions that add and notify listeners
 */
export function createListeners(): Listeners {
	const log = consola.withTag('membership');
	const memberListeners = createListenerSet<[Member, Member | undefined]>(log.error);
	const versionListeners = createListenerSet<[string, number, string]>(log.error);
	const proofListeners = createListenerSet<Parameters<ProofListener>>(log.error);
	const announcementListeners = createListenerSet<[string, Uint8Array]>(log.error);
	return {
		onMemberChange: memberListeners.add,
		onVersion: versionListeners.add,
		onProof: proofListeners.add,
		onAnnouncement: announcementListeners.add,
		notifyMember: memberListeners.notify,
		notifyVersion: versionListeners.notify,
		notifyProof: proofListeners.notify,
		notifyAnnouncement: announcementListeners.notify,
		logFailure(error) {
			log.error('event not handled', error);
		},
		logSuperseded(nodeId, incarnation) {
			log.error(
				`another process uses node id ${nodeId} with incarnation ${incarnation}; give each node its own id, or restart this one`,
			);
		},
	};
}

type ListenerSet<Arguments extends unknown[]> = {
	readonly add: (listener: (...values: Arguments) => void) => void;
	readonly notify: (...values: Arguments) => void;
};

function createListenerSet<Arguments extends unknown[]>(
	logError: (error: unknown) => void,
): ListenerSet<Arguments> {
	const listeners: Array<(...values: Arguments) => void> = [];
	return {
		add(listener) {
			listeners.push(listener);
		},
		notify(...values) {
			for (const listener of listeners) {
				try {
					listener(...values);
				} catch (error) {
					logError(error);
				}
			}
		},
	};
}
