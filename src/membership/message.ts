/**
 * The messages between members. A packet is one datagram: what is asked or answered, and the
 * news that rides along.
 */
import {type MemberRecord, type Standing} from './record.js';

/** An IP address and a UDP port. */
export type Address = {
	readonly host: string;
	readonly port: number;
};

/** A piece of news that spreads from member to member. */
export type Rumour =
	| {readonly kind: 'detail'; readonly record: MemberRecord}
	| {readonly kind: 'standing'; readonly nodeId: string; readonly standing: Standing}
	| {readonly kind: 'version'; readonly topic: string; readonly version: number}
	| {
			readonly kind: 'announcement';
			readonly id: string;
			readonly payload: Uint8Array;
			/** Time until the announcement expires. */
			readonly remainingMilliseconds: number;
	  };

/** What a packet asks or answers. */
export type Body =
	| {readonly kind: 'gossip'}
	/** Answers a sync request; its records are not passed on. */
	| {readonly kind: 'syncPage'}
	| {
			readonly kind: 'ping';
			readonly sequence: number;
			readonly target: string;
	  }
	| {
			readonly kind: 'acknowledgement';
			readonly sequence: number;
			/** False when a peer that was asked to probe had no answer either. */
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
			/** Services whose members are wanted first. */
			readonly services: readonly string[];
			readonly isReply: boolean;
			/** Digest of the versions and announcements. */
			readonly newsDigest: number;
	  };

/** One datagram. */
export type Packet = {
	/** Name of the sender. */
	readonly from: string;
	readonly body: Body;
	readonly rumours: readonly Rumour[];
};

/**
 * Names the subject of a rumour: newer news of a subject replaces older.
 *
 * @param rumour a piece of news
 * @returns the subject, unique among all kinds
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

		case 'announcement': {
			return `announcement:${rumour.id}`;
		}
	}
}
