/**
 * Decides whether a caller's request may enter: by the key of its team, which has to be checked
 * against routes that are known to be recent, since a key that was taken away must not be used.
 */
import {err, ok, type Result} from 'neverthrow';
import {createRefusal, refusalKinds, type Refusal} from '../call/index.js';
import type {Team} from '../routes/index.js';
import {identifyCaller, type CallerClaim} from '../teams/index.js';
import type {ActiveRoutes} from './active-routes.js';

/** Returns the team of an admitted caller, if it has one. */
export type AdmitCaller = (
	routes: ActiveRoutes,
	claim: CallerClaim,
	now: number,
) => Result<Team | undefined, Refusal>;

/** Resolves to a refusal when the team has used what it may use. */
export type SpendAllowance = (team: Team) => Promise<Refusal | undefined>;

/** Takes back what a request spent that arrived at this monotonic time and provably did not run. */
export type ReturnAllowance = (team: string, arrivedAt: number) => void;

export type CallerAdmissionOptions = {
	/** Whether the active routes are known to have been the newest ones recently enough. */
	readonly isRecent: (now: number) => boolean;
};

/** When to retry at a node whose routes may be outdated. */
const outdatedRetryMilliseconds = 300;

/**
 * Creates the admission of callers.
 *
 * @param options whether the routes are recent
 * @returns a function that admits callers
 */
export function createCallerAdmission(options: CallerAdmissionOptions): AdmitCaller {
	return (routes, claim, now) => {
		const identification = identifyCaller(routes.teams, claim);
		const needsKey = routes.teams.isRequired && !claim.route.isPublic && !claim.nested;
		if (needsKey && !options.isRecent(now)) {
			const message =
				'this node cannot tell which keys are valid now: try another node, or try again shortly';
			return err(
				createRefusal(refusalKinds.notReady, message, outdatedRetryMilliseconds),
			);
		}

		if (!identification.isKnown) {
			const message = 'the key belongs to no team: check it with the operators';
			return err(createRefusal(refusalKinds.unknownTeam, message));
		}

		return ok(identification.team);
	};
}
