/**
 * Messages between members. A packet is one datagram: a request or answer, and piggybacked
 * rumours.
 */
import {type MemberRecord, type Standing} from './record.js';

/** An IP address and a UDP port. */
export type Address = {
	readonly host: string;
	readonly port: number;
};

/** States that a version of a topic, or a higher one, was the newest at a time of the table. */
export type TopicProof = {
	readonly version: number;
	/** Era of the table; times of different eras cannot be compared. */
	readonly era: number;
	/** The table's steady clock in milliseconds. */
	readonly provenAt: number;
};

/** An update that is gossiped from member to member. */
export type Rumour =
	| {readonly kind: 'detail'; readonly record: MemberRecord}
	| {readonly kind: 'standing'; readonly nodeId: string; readonly standing: Standing}
	| {readonly kind: 'version'; readonly topic: string; readonly version: number}
	| ({readonly kind: 'proof'; readonly topic: string} & TopicProof)
	| {
			readonly kind: 'announcement';
			readonly id: string;
			readonly payload: Uint8Array;
			/** Time until the announcement expires; relative, since the clocks of nodes differ. */
			readonly remainingMilliseconds: number;
	  };

/** Request or answer of a packet. */
export type Body =
	| {readonly kind: 'gossip'}
	/** Answer to a sync request; its records are not gossiped further. */
	| {readonly kind: 'syncPage'}
	| {
			readonly kind: 'ping';
			readonly sequence: number;
			readonly target: string;
	  }
	| {
			readonly kind: 'acknowledgement';
			readonly sequence: number;
			/** False when the peer asked for an indirect probe got no answer either. */
			readonly reached: boolean;
	  }
	| {
			readonly kind: 'indirectPing';
			readonly sequence: number;
			readonly target: string;
			readonly host: string;
			readonly controlPort: number;
	  }
	| {
			readonly kind: 'syncRequest';
			/** One digest for each bucket of members. */
			readonly digests: readonly number[];
			/** Services whose members are requested first. */
			readonly services: readonly string[];
			readonly isReply: boolean;
			/** Digest of the versions and announcements. */
			readonly newsDigest: number;
	  };

/** One datagram. */
export type Packet = {
	/** Node id of the sender. */
	readonly from: string;
	readonly body: Body;
	readonly rumours: readonly Rumour[];
};

/**
 * Returns the subject of a rumour. A newer rumour replaces an older one on the same subject.
 *
 * @param rumour the rumour
 * @returns the subject, unique across all kinds
 */
export function subjectOf(rumour: Rumour): string {
	switch (rumour.kind) {
		case 'detail': {
			return `member:${rumour.record.member.nodeId}`;
		}

		case 'standing': {
			return `member:${rumour.nodeId}`;
		}

		case 'version': {
			return `version:${rumour.topic}`;
		}

		case 'proof': {
			return `proof:${rumour.topic}`;
		}

		case 'announcement': {
			return `announcement:${rumour.id}`;
		}
	}
}
