/** What admission decides about a request. */

/** Why a request was refused before it reached the server. */
export const refusalReasons = {
	/** The queue is full of work that goes before it. */
	queueFull: 'queue-full',
	/** It waited, and work that goes before it took its place. */
	displaced: 'displaced',
	/** The estimated wait and service time are longer than the time that remains. */
	tooLate: 'too-late',
	/** Its deadline passed while it waited. */
	expired: 'expired',
	/** A request with the same id runs or waits already. */
	duplicate: 'duplicate',
} as const;

export type RefusalReason = (typeof refusalReasons)[keyof typeof refusalReasons];

/** A request that was refused and will not be dispatched by this gate. */
export type RefusedRequest = {
	readonly id: string;
	readonly reason: RefusalReason;
	/** When a new try makes sense, in milliseconds from now. */
	readonly retryAfterMilliseconds: number;
};

export const offerKinds = {
	dispatch: 'dispatch',
	queued: 'queued',
	refused: 'refused',
} as const;

/** The answer to a request that is offered to a gate. */
export type OfferResult =
	| {readonly kind: typeof offerKinds.dispatch}
	| {
			readonly kind: typeof offerKinds.queued;
			/** A request that lost its place to this one and has to be told. */
			readonly displaced: RefusedRequest | undefined;
	  }
	| {
			readonly kind: typeof offerKinds.refused;
			readonly reason: RefusalReason;
			/** When a new try makes sense, in milliseconds from now. */
			readonly retryAfterMilliseconds: number;
	  };

/** What follows when slots come free. */
export type SlotAssignment = {
	/** Ids of waiting requests to hand to the server now. */
	readonly dispatch: readonly string[];
	/** Waiting requests that can no longer be answered in time. */
	readonly refused: readonly RefusedRequest[];
};
