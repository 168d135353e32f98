// Package rate keeps every organisation within its contract's rate and burst over
// all instances together.
//
// Three instances in different availability zones each hold a third of an
// organisation's rate and burst in a token bucket of their own, so that the sum
// never exceeds the contract without any message. An entry borrows tokens from
// the nearest of them, for the request at hand and, for an organisation that it
// has many requests of, for the next half second as well. A request that is
// larger than a share is put together from several.
//
// What is counted, and when: the estimate of the prompt's tokens plus the
// permitted length of the answer is charged before the request is sent, at the
// moment when Charge returns. The estimate must be an upper bound (the bytes of
// the prompt are one), since nothing is charged later; what a request uses beyond
// its charge is counted in a metric alone. After the answer, Settle gives back
// what was not used: a refund is applied once, is never larger than the charge,
// and is lost as far as the share would have been full in the meantime without
// the charge. So in any window of any length t, the tokens used by the requests
// charged in it are at most burst plus rate times t.
//
// Why that holds whatever is lost, late, repeated or paused:
//   - A share's level plus what it has lent never exceeds its burst, and rises by
//     its rate alone.
//   - A loan is lent until its giver hears how much of it was spent, or until
//     occupiedTerm after it gave it. Its borrower spends it within LoanTerm of
//     having asked, which is earlier on any two clocks that differ by less than
//     one part in 64. A lost message wastes tokens for one such term.
//   - A holder checks its duty and its lease right before it lends. If it is
//     paused between the check and the answer, the loan's term runs out with the
//     pause, since it began with the question.
//   - An entry checks the term right before it spends, and the charge counts as
//     of then. If it is paused between that and sending the request, the request
//     runs late by the pause: the overrun is bounded by what the entry had
//     charged and not yet sent.
//   - A new holder starts empty, and fills only after occupiedTerm, by when every
//     loan of its predecessor has ended.
//
// A changed contract is followed at once as far as it is smaller, and as far as
// it is larger once every holder of the organisation has folded it. Instances
// that lag in folding a smaller one go on with their larger share until then.
//
// Not covered: a clock that runs wrong by more than one part in 64; settling
// after more than ten minutes (the unused tokens are lost to the organisation).
package rate
