/** Topic versions, which only increase, proofs of their age, and announcements, which expire. */
import {enqueueRumour} from './rumour-queue.js';
import {hashText, toggleDigest} from './hash.js';
import {type Rumour, type TopicProof} from './message.js';
import {isName} from './rumour-codec.js';
import {type EventContext} from './state.js';

/** Number of topics that every probe states. */
const maximumRecentTopics = 4;

/**
 * Raises the version of a topic and queues it for gossip.
 *
 * @param context context of the event
 * @param topic name of the topic
 * @param version the published or received version
 * @param from id of the node that sent it; absent when this node published it
 * @returns whether it was higher than the known version
 */
export function raiseVersion(
	context: EventContext,
	topic: string,
	version: number,
	from?: string,
): boolean {
	const {topics, rumourQueue, parameters} = context.state;
	const known = topics.get(topic);
	const isKnownOrFits =
		known !== undefined || (topics.size < parameters.maximumTopics && isName(topic));
	if (!isKnownOrFits || (known !== undefined && known >= version)) {
		return false;
	}

	topics.set(topic, version);
	context.state.recentTopics = moveToEnd(context.state.recentTopics, topic);
	enqueueRumour(rumourQueue, {kind: 'version', topic, version});
	if (from !== undefined) {
		context.effects.push({kind: 'versionRaised', topic, version, from});
	}

	return true;
}

/**
 * Stores a proof of a topic and queues it for gossip, unless the known one is as new.
 *
 * @param context context of the event
 * @param topic name of the topic
 * @param proof the published or received proof
 * @param isOwn whether it is this node's own
 */
export function renewProof(
	context: EventContext,
	topic: string,
	{version, era, provenAt}: TopicProof,
	isOwn: boolean,
): void {
	const {proofs, rumourQueue, parameters} = context.state;
	const known = proofs.get(topic);
	const isNewer =
		known === undefined
			? proofs.size < parameters.maximumTopics && isName(topic)
			: era > known.era || (era === known.era && provenAt > known.provenAt);
	if (!isNewer) {
		return;
	}

	const proof = {version, era, provenAt};
	proofs.set(topic, proof);
	context.state.recentProofs = moveToEnd(context.state.recentProofs, topic);
	enqueueRumour(rumourQueue, {kind: 'proof', topic, ...proof});
	if (!isOwn) {
		context.effects.push({kind: 'proofRenewed', topic, proof});
	}
}

/**
 * Stores an announcement and queues it for gossip. One whose id is known is ignored.
 *
 * @param context context of the event
 * @param announcement the received or own announcement
 * @param isOwn whether it is this node's own
 * @returns whether it was new
 */
export function addAnnouncement(
	context: EventContext,
	announcement: Extract<Rumour, {kind: 'announcement'}>,
	isOwn: boolean,
): boolean {
	const {announcements, rumourQueue, parameters} = context.state;
	const {id, payload, remainingMilliseconds} = announcement;
	const isTooLong = payload.length > parameters.maximumAnnouncementBytes || !isName(id);
	if (announcements.has(id) || isTooLong || remainingMilliseconds <= 0) {
		return false;
	}

	expireAnnouncements(context);
	if (announcements.size >= parameters.maximumAnnouncements) {
		return false;
	}

	announcements.set(id, {payload, expiresAt: context.now + remainingMilliseconds});
	enqueueRumour(rumourQueue, announcement);
	if (!isOwn) {
		context.effects.push({kind: 'announced', id, payload});
	}

	return true;
}

/**
 * Removes expired announcements.
 *
 * @param context context of the event
 */
export function expireAnnouncements(context: EventContext): void {
	const {announcements} = context.state;
	for (const [id, {expiresAt}] of announcements) {
		if (expiresAt <= context.now) {
			announcements.delete(id);
		}
	}
}

/**
 * Lists the versions and the unexpired announcements, for a node that lacks some.
 *
 * @param context context of the event
 * @returns the versions, and the announcements with their remaining time
 */
export function listVersionsAndAnnouncements(context: EventContext): Rumour[] {
	const {topics, proofs, announcements} = context.state;
	const rumours: Rumour[] = [];
	for (const [topic, proof] of proofs) {
		rumours.push({kind: 'proof', topic, ...proof});
	}

	for (const [topic, version] of topics) {
		rumours.push({kind: 'version', topic, version});
	}

	for (const [id, {payload, expiresAt}] of announcements) {
		const remainingMilliseconds = Math.floor(expiresAt - context.now);
		if (remainingMilliseconds > 0) {
			rumours.push({kind: 'announcement', id, payload, remainingMilliseconds});
		}
	}

	return rumours;
}

/**
 * Computes a digest of the versions and announcements, by which two nodes detect differences.
 *
 * @param context context of the event
 * @returns unsigned 32-bit digest
 */
export function digestVersionsAndAnnouncements(context: EventContext): number {
	const {topics, announcements} = context.state;
	let digest = 0;
	for (const [topic, version] of topics) {
		digest = toggleDigest(digest, hashText(`${topic} ${version}`));
	}

	for (const id of announcements.keys()) {
		digest = toggleDigest(digest, hashText(id));
	}

	return digest;
}

function moveToEnd(recent: readonly string[], topic: string): readonly string[] {
	return [...recent.filter(other => other !== topic), topic].slice(-maximumRecentTopics);
}
