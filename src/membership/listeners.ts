/** The listeners of membership. One that throws does not keep the others from being told. */
import {consola} from 'consola';
import {type Member} from './member.js';
import {
	type AnnouncementListener,
	type MemberListener,
	type VersionListener,
} from './membership.js';

export type Listeners = {
	readonly onMemberChange: (listener: MemberListener) => void;
	readonly onVersion: (listener: VersionListener) => void;
	readonly onAnnouncement: (listener: AnnouncementListener) => void;
	readonly notifyMember: MemberListener;
	readonly notifyVersion: VersionListener;
	readonly notifyAnnouncement: AnnouncementListener;
	readonly logSuperseded: (nodeId: string, incarnation: number) => void;
};

/**
 * Creates an empty set of listeners.
 *
 * @returns ways to add listeners and to tell them
 */
export function createListeners(): Listeners {
	const log = consola.withTag('membership');
	const ofMembers = createSet<[Member, Member | undefined]>(log.error);
	const ofVersions = createSet<[string, number, string]>(log.error);
	const ofAnnouncements = createSet<[string, Uint8Array]>(log.error);
	return {
		onMemberChange: ofMembers.add,
		onVersion: ofVersions.add,
		onAnnouncement: ofAnnouncements.add,
		notifyMember: ofMembers.tell,
		notifyVersion: ofVersions.tell,
		notifyAnnouncement: ofAnnouncements.tell,
		logSuperseded(nodeId, incarnation) {
			log.error(
				`another process runs as ${nodeId} with incarnation ${incarnation}; give each node its own name, or restart this one`,
			);
		},
	};
}

type ListenerSet<Arguments extends unknown[]> = {
	readonly add: (listener: (...values: Arguments) => void) => void;
	readonly tell: (...values: Arguments) => void;
};

function createSet<Arguments extends unknown[]>(
	report: (error: unknown) => void,
): ListenerSet<Arguments> {
	const listeners: Array<(...values: Arguments) => void> = [];
	return {
		add(listener) {
			listeners.push(listener);
		},
		tell(...values) {
			for (const listener of listeners) {
				try {
					listener(...values);
				} catch (error) {
					report(error);
				}
			}
		},
	};
}
