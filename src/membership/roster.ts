/**
 * The members that a node knows, indexed for calls, probes and anti-entropy. All functions update
 * the roster in place.
 */
import {hashText, toggleDigest} from './hash.js';
import {memberStatuses, type Member} from './member.js';
import {type NearPeers} from './near-peers.js';
import {type MemberRecord} from './record.js';

/** Number of buckets of members whose digests anti-entropy compares. */
export const bucketCount = 128;

export type Roster = {
	readonly records: Map<string, MemberRecord>;
	/** Ids of the members that are not dead, in probe order, without this node. */
	readonly peers: string[];
	readonly peerPositions: Map<string, number>;
	/** The peers by distance; undefined after a change of the peers. */
	nearPeers: NearPeers | undefined;
	readonly services: Map<string, Map<string, Member>>;
	/** Alive and leaving members by service; an entry is removed when one of its members changes. */
	readonly serviceMemberCache: Map<string, readonly Member[]>;
	readonly buckets: Array<Set<string>>;
	readonly digests: Uint32Array;
	/** Dead members and when they were marked dead, oldest first. */
	readonly deadSince: Map<string, number>;
};

const noMembers: readonly Member[] = [];

/**
 * Creates an empty roster.
 *
 * @returns the roster
 */
export function createRoster(): Roster {
	return {
		records: new Map(),
		peers: [],
		peerPositions: new Map(),
		nearPeers: undefined,
		services: new Map(),
		serviceMemberCache: new Map(),
		buckets: Array.from({length: bucketCount}, () => new Set<string>()),
		digests: new Uint32Array(bucketCount),
		deadSince: new Map(),
	};
}

/**
 * Adds or replaces the record of a member.
 *
 * @param roster the roster
 * @param record the new record
 * @param isSelf whether it is this node, which is not a peer
 * @param now current time in milliseconds
 */
export function putRecord(
	roster: Roster,
	record: MemberRecord,
	isSelf: boolean,
	now: number,
): void {
	const {nodeId} = record.member;
	const previous = roster.records.get(nodeId);
	roster.records.set(nodeId, record);
	const bucket = bucketOf(nodeId);
	roster.buckets[bucket]!.add(nodeId);
	if (previous !== undefined) {
		toggleRecordDigest(roster, bucket, previous);
	}

	toggleRecordDigest(roster, bucket, record);
	if (hasMoved(previous?.member, record.member)) {
		roster.nearPeers = undefined;
	}

	updateServiceIndex(roster, previous?.member, record.member);
	const isDead = record.member.status === memberStatuses.dead;
	if (isDead && !roster.deadSince.has(nodeId)) {
		roster.deadSince.set(nodeId, now);
	}

	if (!isDead) {
		roster.deadSince.delete(nodeId);
	}

	if (isDead || isSelf) {
		removePeer(roster, nodeId);
		return;
	}

	addPeer(roster, nodeId);
}

/**
 * Removes the members that were marked dead before a given time.
 *
 * @param roster the roster
 * @param before time in milliseconds; members marked dead earlier are removed
 */
export function removeExpiredDead(roster: Roster, before: number): void {
	for (const [nodeId, since] of roster.deadSince) {
		if (since >= before) {
			return;
		}

		roster.deadSince.delete(nodeId);
		removeRecord(roster, nodeId);
	}
}

/**
 * Lists the alive and leaving members of a service. Returns the same array until one of them
 * changes.
 *
 * @param roster the roster
 * @param service name of the service
 * @returns its members
 */
export function listServiceMembers(roster: Roster, service: string): readonly Member[] {
	const cached = roster.serviceMemberCache.get(service);
	if (cached !== undefined) {
		return cached;
	}

	const members = roster.services.get(service);
	if (members === undefined) {
		return noMembers;
	}

	const listed = [...members.values()].filter(
		({status}) => status === memberStatuses.alive || status === memberStatuses.leaving,
	);
	roster.serviceMemberCache.set(service, listed);
	return listed;
}

/**
 * Picks peers at random.
 *
 * @param roster the roster
 * @param count maximum number of peers
 * @param random source of random numbers in [0, 1)
 * @param except id of a node to leave out
 * @returns at most `count` distinct peers
 */
export function pickPeers(
	roster: Roster,
	count: number,
	random: () => number,
	except?: string,
): Member[] {
	const {peers} = roster;
	const chosen = new Set<string>();
	const attempts = count * 3;
	for (let attempt = 0; attempt < attempts && chosen.size < count; attempt += 1) {
		const nodeId = peers[Math.floor(random() * peers.length)];
		if (nodeId !== undefined && nodeId !== except) {
			chosen.add(nodeId);
		}
	}

	return [...chosen].map(nodeId => roster.records.get(nodeId)!.member);
}

/** Tells whether a node restarted elsewhere under its id. */
function hasMoved(previous: Member | undefined, member: Member): boolean {
	return (
		previous?.region !== member.region || previous.failureDomain !== member.failureDomain
	);
}

function bucketOf(nodeId: string): number {
	return hashText(nodeId) % bucketCount;
}

/**
 * Digest of a record; the digest of a bucket is the XOR of its records. Dead members have the
 * digest zero, since nodes remove them at different times.
 */
function digestOf(record: MemberRecord): number {
	const {member, detailRevision, standing} = record;
	if (member.status === memberStatuses.dead) {
		return 0;
	}

	const text = `${member.nodeId} ${member.incarnation} ${detailRevision} ${standing.incarnation} ${standing.revision} ${standing.status}`;
	return hashText(text);
}

function toggleRecordDigest(roster: Roster, bucket: number, record: MemberRecord): void {
	roster.digests[bucket] = toggleDigest(roster.digests[bucket]!, digestOf(record));
}

function updateServiceIndex(
	roster: Roster,
	previous: Member | undefined,
	member: Member,
): void {
	if (previous?.service !== undefined) {
		roster.serviceMemberCache.delete(previous.service);
		if (previous.service !== member.service) {
			removeFromService(roster, previous.service, member.nodeId);
		}
	}

	if (member.service === undefined) {
		return;
	}

	const members = roster.services.get(member.service) ?? new Map<string, Member>();
	members.set(member.nodeId, member);
	roster.services.set(member.service, members);
	roster.serviceMemberCache.delete(member.service);
}

function removeFromService(roster: Roster, service: string, nodeId: string): void {
	const members = roster.services.get(service);
	members?.delete(nodeId);
	roster.serviceMemberCache.delete(service);
	if (members?.size === 0) {
		roster.services.delete(service);
	}
}

function removeRecord(roster: Roster, nodeId: string): void {
	const record = roster.records.get(nodeId);
	if (record === undefined) {
		return;
	}

	const bucket = bucketOf(nodeId);
	roster.records.delete(nodeId);
	roster.buckets[bucket]!.delete(nodeId);
	toggleRecordDigest(roster, bucket, record);
	removePeer(roster, nodeId);
	if (record.member.service !== undefined) {
		removeFromService(roster, record.member.service, nodeId);
	}
}

function addPeer(roster: Roster, nodeId: string): void {
	if (!roster.peerPositions.has(nodeId)) {
		roster.nearPeers = undefined;
		roster.peerPositions.set(nodeId, roster.peers.length);
		roster.peers.push(nodeId);
	}
}

/** Moves the last peer into the freed position. */
function removePeer(roster: Roster, nodeId: string): void {
	const position = roster.peerPositions.get(nodeId);
	if (position === undefined) {
		return;
	}

	roster.nearPeers = undefined;
	roster.peerPositions.delete(nodeId);
	const last = roster.peers.pop()!;
	if (last !== nodeId) {
		roster.peers[position] = last;
		roster.peerPositions.set(last, position);
	}
}
