/** Versions of topics, which only rise, and announcements, which expire. */
import {enqueueRumour} from './rumour-queue.js';
import {hashText, toggleDigest} from './hash.js';
import {type Rumour} from './message.js';
import {type EventContext} from './state.js';

/**
 * Raises the version of a topic and passes it on.
 *
 * @param step the event being decided
 * @param topic name of the topic
 * @param version version that is in being
 * @param from name of the node that told it; absent when this node did
 * @returns whether it was higher than any version known
 */
export function raiseVersion(
	step: EventContext,
	topic: string,
	version: number,
	from?: string,
): boolean {
	const {topics, rumourQueue: broadcast, parameters} = step.state;
	const known = topics.get(topic);
	const isKnownOrFits = known !== undefined || topics.size < parameters.maximumTopics;
	if (!isKnownOrFits || (known !== undefined && known >= version)) {
		return false;
	}

	topics.set(topic, version);
	enqueueRumour(broadcast, {kind: 'version', topic, version});
	if (from !== undefined) {
		step.effects.push({kind: 'versionRaised', topic, version, from});
	}

	return true;
}

/**
 * Takes in an announcement and passes it on. A known identity is announced once only.
 *
 * @param step the event being decided
 * @param announcement what arrived or what this node announces
 * @param isOwn whether this node announces it
 * @returns whether it was new
 */
export function addAnnouncement(
	step: EventContext,
	announcement: Extract<Rumour, {kind: 'announcement'}>,
	isOwn: boolean,
): boolean {
	const {announcements, rumourQueue: broadcast, parameters} = step.state;
	const {id, payload, remainingMilliseconds} = announcement;
	const isTooLong = payload.length > parameters.maximumAnnouncementBytes;
	if (announcements.has(id) || isTooLong || remainingMilliseconds <= 0) {
		return false;
	}

	expireAnnouncements(step);
	if (announcements.size >= parameters.maximumAnnouncements) {
		return false;
	}

	announcements.set(id, {payload, expiresAt: step.now + remainingMilliseconds});
	enqueueRumour(broadcast, announcement);
	if (!isOwn) {
		step.effects.push({kind: 'announced', id, payload});
	}

	return true;
}

/**
 * Forgets the announcements whose time is over.
 *
 * @param step the event being decided
 */
export function expireAnnouncements(step: EventContext): void {
	const {announcements} = step.state;
	for (const [id, {expiresAt}] of announcements) {
		if (expiresAt <= step.now) {
			announcements.delete(id);
		}
	}
}

/**
 * Lists the versions and the live announcements, for a node that lacks some.
 *
 * @param step the event being decided
 * @returns the versions, and the announcements with the time that each has left
 */
export function listVersionsAndAnnouncements(step: EventContext): Rumour[] {
	const {topics, announcements} = step.state;
	const rumours: Rumour[] = [];
	for (const [topic, version] of topics) {
		rumours.push({kind: 'version', topic, version});
	}

	for (const [id, {payload, expiresAt}] of announcements) {
		const remainingMilliseconds = Math.floor(expiresAt - step.now);
		if (remainingMilliseconds > 0) {
			rumours.push({kind: 'announcement', id, payload, remainingMilliseconds});
		}
	}

	return rumours;
}

/**
 * Digests the versions and announcements, so that two nodes see whether they know the same.
 *
 * @param step the event being decided
 * @returns 32 bits
 */
export function digestVersionsAndAnnouncements(step: EventContext): number {
	const {topics, announcements} = step.state;
	let digest = 0;
	for (const [topic, version] of topics) {
		digest = toggleDigest(digest, hashText(`${topic} ${version}`));
	}

	for (const id of announcements.keys()) {
		digest = toggleDigest(digest, hashText(id));
	}

	return digest;
}
