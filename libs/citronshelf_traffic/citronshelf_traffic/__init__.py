"""Server choice, admission, retry and hedge budgets, and rate limits.

The entry daemon has one ``AccountLimiter``, one ``AdmissionQueue``, one
``ServerChooser`` and one ``RegionLink``, and one retry and one hedge budget
for each service. A request uses them in this order::

    work = describe_work(request_id=..., service_name=..., service=...,
                         class_name=..., request_class=..., now=clock(),
                         body_bytes=len(body))
    if accounts.admit(account).is_error():
        return outcomes.NotRun(reason='account-limit')
    match await queue.admit(work):
        case Result(tag='error', error=refusal):
            return outcomes.NotRun(reason=refusal.reason)
        case Result(tag='ok', ok=admission):
            pass
    retries.record_new_request()
    try:
        while True:
            outcome, ending = await send(work, admission)
            if ending not in (Ending.SHED, Ending.NO_SERVER):
                return outcome
            previous, admission = admission, None
            requeued = await queue.requeue(previous)
            if requeued.is_error():
                return outcomes.NotRun(reason=requeued.error.reason)
            admission = requeued.ok
    finally:
        if admission is not None:
            queue.release(admission)

    async def send(work, admission):
        tried = frozenset()
        while True:
            choice = chooser.choose(work, tried)
            if choice.is_error():
                return NotRun(reason=choice.error.reason), Ending.NO_SERVER
            placement = choice.ok
            chooser.begin(placement)
            ending, load = Ending.CANCELLED, None
            try:
                result = await dispatch(placement.server, work)
                ending, load = result.ending, result.load
            finally:
                chooser.end(placement, load, ending=ending)
                queue.record_ending(admission, ending, load)
            if not may_choose_again(ending, work, tried, clock(), retries):
                return result.outcome, ending
            tried |= {placement.server.server_id}

``may_choose_again`` is defined in ``budgets``. It is true only for endings
that prove that the request was not executed. After SHED and NO_SERVER no
server accepted the request, so it waits again, within its time limit.
``requeue`` always releases the given admission, even when it is cancelled.
"""
