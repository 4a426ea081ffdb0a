/** Types of the membership API that the rest of a node uses. */
import {type CreateTransport} from './transport.js';
import {type Member} from './member.js';
import {type TopicProof} from './message.js';
import {type MembershipParameters} from './parameters.js';
import {type SeedRow} from './seeds.js';
import {type SelfPatch} from './state.js';

/** Called for each change of a member; `previous` is undefined for a new member. */
export type MemberListener = (member: Member, previous: Member | undefined) => void;
/** Called when the version of a topic increases; `from` is the id of the node that sent it. */
export type VersionListener = (topic: string, version: number, from: string) => void;
/** Called when another node's proof of a topic is newer than the known one. */
export type ProofListener = (topic: string, proof: TopicProof) => void;
/** Called once for each announcement of another node. */
export type AnnouncementListener = (id: string, payload: Uint8Array) => void;

/** The members known to one node, and the versions and announcements that it shares with them. */
export type Membership = {
	/** Returns this node's own record. */
	readonly self: () => Member;
	/** Changes this node's own record and gossips it. */
	readonly updateSelf: (patch: SelfPatch) => void;
	/**
	 * Lists the alive and leaving members of a service; returns the same array until one of them
	 * changes. The first call for a service requests its members from a peer.
	 */
	readonly membersOf: (service: string) => readonly Member[];
	readonly find: (nodeId: string) => Member | undefined;
	/** Lists every known member, including dead ones. */
	readonly all: () => readonly Member[];
	readonly onMemberChange: (listener: MemberListener) => void;
	/** Gossips a version to every node; one that is not higher than the known version is ignored. */
	readonly publishVersion: (topic: string, version: number) => void;
	readonly onVersion: (listener: VersionListener) => void;
	/** Returns the highest known version of a topic. */
	readonly versionOf: (topic: string) => number | undefined;
	/** Gossips a proof that a version was the newest; one that is not newer than the known is ignored. */
	readonly publishProof: (topic: string, proof: TopicProof) => void;
	readonly onProof: (listener: ProofListener) => void;
	/** Returns the newest known proof of a topic. */
	readonly proofOf: (topic: string) => TopicProof | undefined;
	/** Gossips an announcement to every node; `payload` holds at most 600 bytes. */
	readonly announce: (
		id: string,
		payload: Uint8Array,
		lifetimeMilliseconds: number,
	) => void;
	readonly onAnnouncement: (listener: AnnouncementListener) => void;
	/** Lists the ids of the announcements that have not expired. */
	readonly announcements: () => readonly string[];
	/** Announces that this node is leaving; resolves once enough peers acknowledged it or on timeout. */
	readonly leave: () => Promise<void>;
	/** Checks this node's seed row soon, since the table may have lost it. */
	readonly checkSeedRow: () => void;
	/** Monotonic time at which a packet of another member last arrived, in milliseconds. */
	readonly lastPacketAt: () => number;
	/** Describes the whole state for the state dump. */
	readonly dump: () => Record<string, unknown>;
};

/** The record of a node without the fields that membership maintains itself. */
export type SelfDescription = Omit<Member, 'status' | 'revision'>;

export type MembershipOptions = {
	/** This node; `incarnation` is the wall-clock time of its start in milliseconds. */
	readonly self: SelfDescription;
	/** Control addresses of other nodes, `host:port`, from the settings. */
	readonly seeds: readonly string[];
	/** Reads control addresses from the platform's table; may reject or never settle. */
	readonly readSeeds?: () => Promise<readonly string[]>;
	/** Writes a seed row to the platform's table; may reject or never settle. */
	readonly writeSeed?: (row: SeedRow) => Promise<void>;
	/** Services whose members are requested first. */
	readonly services?: readonly string[];
	/** Address to listen on; defaults to the host of `self`. */
	readonly listenHost?: string;
	/** UDP port to listen on; defaults to the control port of `self`. */
	readonly listenPort?: number;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
	/** Random numbers in [0, 1). */
	readonly random: () => number;
	readonly createTransport?: CreateTransport;
	readonly parameters?: Partial<MembershipParameters>;
};

/** Reason why membership could not start. */
export type MembershipError = {
	readonly kind: 'control-port-unavailable' | 'port-not-fixed' | 'seed-address-invalid';
	readonly message: string;
};
