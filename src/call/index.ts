/** Public surface of the call: what is asked, and what a caller is told. */
export {outcomes, type Outcome} from './outcome.js';
export {createRefusal, refusalKinds, type Refusal, type RefusalKind} from './refusal.js';
