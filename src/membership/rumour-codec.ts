/**
 * Converts rumours to and from protobuf messages. Strings that several details share are sent
 * once in each packet.
 */
import {Buffer} from 'node:buffer';
import {isIP} from 'node:net';
import {type Detail, type Packet as WirePacket} from '../generated/membership.js';
import {memberStatuses, type Member, type MemberStatus} from './member.js';
import {type Rumour} from './message.js';
import {combineRecord, type MemberRecord} from './record.js';

const maximumNameLength = 200;
const maximumPort = 65_535;
const statuses: readonly MemberStatus[] = [
	memberStatuses.alive,
	memberStatuses.leaving,
	memberStatuses.suspect,
	memberStatuses.dead,
];

/**
 * Adds a rumour to a packet.
 *
 * @param wire the packet, updated in place
 * @param names indexes of the strings that details share, updated in place
 * @param rumour the rumour
 */
export function addRumour(
	wire: WirePacket,
	names: Map<string, number>,
	rumour: Rumour,
): void {
	switch (rumour.kind) {
		case 'detail': {
			wire.details.push(toDetail(rumour.record, names));
			break;
		}

		case 'standing': {
			const {incarnation, revision, status} = rumour.standing;
			const code = statuses.indexOf(status);
			const {nodeId} = rumour;
			wire.standings.push({nodeId, incarnation, revision, status: code});
			break;
		}

		case 'version': {
			wire.versions.push({topic: rumour.topic, version: rumour.version});
			break;
		}

		case 'proof': {
			const {topic, version, era, provenAt} = rumour;
			wire.proofs.push({topic, version, era, provenAt});
			break;
		}

		case 'announcement': {
			wire.announcements.push({
				id: rumour.id,
				payload: Buffer.from(rumour.payload),
				remainingMilliseconds: rumour.remainingMilliseconds,
			});
			break;
		}
	}
}

function toDetail(record: MemberRecord, names: Map<string, number>): Detail {
	const {member, detailRevision, standing} = record;
	const indexOf = (name: string | undefined): number => {
		if (name === undefined) {
			return 0;
		}

		const index = names.get(name) ?? names.size + 1;
		names.set(name, index);
		return index;
	};

	return {
		nodeId: member.nodeId,
		incarnation: member.incarnation,
		detailRevision,
		host: member.host,
		peerPort: member.peerPort,
		controlPort: member.controlPort,
		region: indexOf(member.region),
		failureDomain: indexOf(member.failureDomain),
		service: indexOf(member.service),
		slots: member.slots,
		laterIncarnation: standing.incarnation - member.incarnation,
		revision: standing.revision,
		status: statuses.indexOf(standing.status),
	};
}

/**
 * Reads the rumours of a packet.
 *
 * @param wire the packet
 * @returns the rumours; throws a RangeError at the first invalid one
 */
export function* readRumours(wire: WirePacket): Generator<Rumour> {
	for (const detail of wire.details) {
		yield {kind: 'detail', record: fromDetail(detail, wire.names)};
	}

	for (const {nodeId, incarnation, revision, status} of wire.standings) {
		const standing = {incarnation, revision, status: readStatus(status)};
		yield {kind: 'standing', nodeId: readName(nodeId), standing};
	}

	for (const {topic, version} of wire.versions) {
		yield {kind: 'version', topic: readName(topic), version};
	}

	for (const {topic, version, era, provenAt} of wire.proofs) {
		yield {kind: 'proof', topic: readName(topic), version, era, provenAt};
	}

	for (const {id, payload, remainingMilliseconds} of wire.announcements) {
		yield {kind: 'announcement', id: readName(id), payload, remainingMilliseconds};
	}
}

function fromDetail(detail: Detail, names: readonly string[]): MemberRecord {
	const {incarnation, revision, detailRevision, laterIncarnation} = detail;

	const standing = {
		incarnation: incarnation + laterIncarnation,
		revision,
		status: readStatus(detail.status),
	};
	const service = detail.service === 0 ? undefined : readName(names[detail.service - 1]);
	const member: Member = {
		nodeId: readName(detail.nodeId),
		incarnation,
		status: standing.status,
		host: readHost(detail.host),
		peerPort: readPort(detail.peerPort),
		controlPort: readPort(detail.controlPort),
		region: readName(names[detail.region - 1]),
		failureDomain: readName(names[detail.failureDomain - 1]),
		service,
		slots: detail.slots,
		revision,
	};
	return combineRecord(member, detailRevision, standing);
}

/** Tells whether a text can be sent as a name; members refuse packets with any other. */
export function isName(text: string): boolean {
	return text !== '' && text.length <= maximumNameLength;
}

/**
 * Checks a received name.
 *
 * @param name the name
 * @returns the name; throws a RangeError when it is missing, empty or too long
 */
export function readName(name: string | undefined): string {
	if (name === undefined || !isName(name)) {
		throw new RangeError('name is missing, empty or too long');
	}

	return name;
}

/**
 * Checks a received host.
 *
 * @param host the host
 * @returns the host; throws a RangeError unless it is an IP address
 */
export function readHost(host: string): string {
	if (isIP(host) === 0) {
		throw new RangeError('host is no IP address');
	}

	return host;
}

/**
 * Checks a received port. Sockets throw when they are given another one to send to.
 *
 * @param port the port
 * @returns the port; throws a RangeError when it is out of range
 */
export function readPort(port: number): number {
	if (port < 1 || port > maximumPort) {
		throw new RangeError('port is out of range');
	}

	return port;
}

function readStatus(code: number): MemberStatus {
	const status = statuses[code];
	if (status === undefined) {
		throw new RangeError('status is unknown');
	}

	return status;
}
